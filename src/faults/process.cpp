#include "faults/process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

extern char** environ;

namespace indigosaddle::faults {

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::map<std::string, std::string>& environment, const std::string& log_path) {
  std::vector<std::string> argument_texts = {program};
  argument_texts.insert(argument_texts.end(), arguments.begin(), arguments.end());
  std::vector<std::string> variables;  // as NAME=VALUE
  for (char** own = environ; *own != nullptr; ++own) {
    const std::string variable = *own;
    if (!environment.contains(variable.substr(0, variable.find('=')))) variables.push_back(variable);
  }
  for (const auto& [name, value] : environment) variables.push_back(fmt::format("{}={}", name, value));
  std::vector<char*> argv, envp;
  for (std::string& argument : argument_texts) argv.push_back(argument.data());
  for (std::string& variable : variables) envp.push_back(variable.data());
  argv.push_back(nullptr);
  envp.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t no_signals;
  sigemptyset(&no_signals);
  posix_spawnattr_setsigmask(&attributes, &no_signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, &attributes, argv.data(), envp.data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start " + program);
}

Process::~Process() {
  Signal(SIGKILL);
  WaitForExit(std::chrono::seconds(10));
}

void Process::Signal(int signal_number) const {
  if (!exit_status_) kill(pid_, signal_number);
}

std::optional<int> Process::WaitForExit(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!exit_status_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() > end) {
      break;
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }
  return exit_status_;
}

void Process::LimitFileSize(std::uint64_t bytes) const {
  const rlimit limit{bytes, bytes};
  prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

}  // namespace indigosaddle::faults

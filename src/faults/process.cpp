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
                 const std::map<std::string, std::string>& environment, const std::string& log) {
  std::vector<std::string> words = {program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<std::string> settings;
  for (char** own = environ; *own != nullptr; ++own) {
    const std::string one = *own;
    if (!environment.contains(one.substr(0, one.find('=')))) settings.push_back(one);
  }
  for (const auto& [name, value] : environment) settings.push_back(fmt::format("{}={}", name, value));
  std::vector<char*> argv, envp;
  for (std::string& word : words) argv.push_back(word.data());
  for (std::string& setting : settings) envp.push_back(setting.data());
  argv.push_back(nullptr);
  envp.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, &attributes, argv.data(), envp.data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start " + program);
}

Process::~Process() {
  Signal(SIGKILL);
  Ended(std::chrono::seconds(10));
}

void Process::Signal(int number) const {
  if (!status_) kill(pid_, number);
}

std::optional<int> Process::Ended(std::chrono::milliseconds within) {
  const auto end = std::chrono::steady_clock::now() + within;
  while (!status_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() > end) {
      break;
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }
  return status_;
}

void Process::LimitFiles(std::uint64_t bytes) const {
  const rlimit limit{bytes, bytes};
  prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

}  // namespace indigosaddle::faults

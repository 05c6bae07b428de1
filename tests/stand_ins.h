// Stand-ins for the systems around a delivery node, and the node itself as a process. They use loopback only,
// with ports chosen by the kernel, and every wait is for a condition with one generous limit (kWaitLimit).
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "client_stand_in.h"
#include "http_stand_ins.h"
#include "platform_stand_in.h"

namespace indigosaddle::testing {

// The built program as a child process ("the built node"). Its state folder is kept over restarts.
class NodeProcess {
 public:
  explicit NodeProcess(std::string discovery) {
    std::string name = (std::filesystem::temp_directory_path() / "indigosaddle-node-XXXXXX").string();
    folder = mkdtemp(name.data());
    std::filesystem::create_directory(folder + "/state");
    config = {{"name", "n0"},
              {"listen", "127.0.0.1:0"},
              {"discovery", std::move(discovery)},
              {"seed", "1f"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}}},
              {"settings",
               {{"balancers", 1},
                {"tick", 5.0},
                {"discovery", "pushed"},
                {"caps",
                 {{"attemptsCap", 12},
                  {"dialTimeout", 1500.0},
                  {"idleClose", 15000.0},
                  {"maxOpen", 100},
                  {"maxRetryAfter", 2000.0},
                  {"retryAfter", true}}},
                {"classes",
                 {Class("keyed", "idempotency_key"), Class("safe", "read_like"),
                  Class("unsafe", "non_idempotent")}},
                {"familyInfo",
                 {{"callSlots", 8},
                  {"perCall", {1}},
                  {"separateRoutes", {false}},
                  {"decay", "even"},
                  {"zoneFee", {0.0}}}},
                {"guarantees",
                 {{"coldFrom", 0.25},
                  {"cold", 1000.0},
                  {"fall", 500.0},
                  {"overloadFactor", 2.0},
                  {"mustAskIn", 0.0}}},
                {"overShareWorth", 1.0},
                {"prices", {{"crossZone", 0.0}, {"handshake", 0.0}}},
                {"weightKind", "off"},
                {"machineTypes", {"m"}},
                {"zones", {"z"}},
                {"zone", 0}}}};
  }
  ~NodeProcess() {
    if (process_ > 0) Kill(SIGKILL);
    if (::testing::Test::HasFailure()) std::fputs(log().c_str(), stderr);
    std::filesystem::remove_all(folder);
  }

  void WriteConfig(const std::string& text) const {  // replaced by a rename, as operators do
    std::ofstream(folder + "/config.new") << text;
    std::filesystem::rename(folder + "/config.new", folder + "/config.json");
  }

  void WriteToml(const std::string& text) const {
    std::ofstream(folder + "/node.toml.new") << text;
    std::filesystem::rename(folder + "/node.toml.new", folder + "/node.toml");
  }

  // Runs one of the program's commands for this node; returns its exit status and its combined output.
  std::pair<int, std::string> Command(const std::string& command_line) const {
    const std::string line =
        "EDGE_STATE=" + folder + "/state " + INDIGOSADDLE_PROGRAM + " " + command_line + " 2>&1";
    FILE* out = popen(line.c_str(), "r");
    std::string text(65536, '\0');
    text.resize(fread(text.data(), 1, text.size(), out));
    return {WEXITSTATUS(pclose(out)), text};
  }

  // Starts the node and waits until it serves; false if it ended. 0 means: no limit, no pending signal.
  bool Start(rlim_t descriptors = 0, int pending_signal = 0) {
    WriteConfig(raw_config ? *raw_config : config.dump());
    if (!toml.empty()) WriteToml(toml);
    const std::string log_path = folder + "/log" + std::to_string(++starts_);
    const std::string state = shared_state.empty() ? folder + "/state" : shared_state;
    // Everything that allocates comes before the fork: the child must not take a lock that one of the
    // stand-ins' threads may hold.
    std::vector<std::string> program_arguments{INDIGOSADDLE_PROGRAM}, variables{"EDGE_STATE=" + state};
    if (toml.empty()) {
      variables.push_back("EDGE_CONFIG=" + folder + "/config.json");
    } else {  // configured by the operator's file alone
      for (const char* option : {"serve", "--config"}) program_arguments.emplace_back(option);
      program_arguments.push_back(folder + "/node.toml");
      program_arguments.emplace_back("--kill-at");
      program_arguments.push_back(kill_at.empty() ? "none" : kill_at);
    }
    variables.insert(variables.end(), extra_variables.begin(), extra_variables.end());
    for (char** variable = environ; *variable != nullptr; ++variable) {
      const std::string_view entry = *variable;
      if (!entry.starts_with("EDGE_STATE=") && (!toml.empty() || !entry.starts_with("EDGE_CONFIG=")))
        variables.emplace_back(entry);
    }
    const auto pointers = [](std::vector<std::string>& from) {
      std::vector<char*> to;
      for (std::string& text : from) to.push_back(text.data());
      to.push_back(nullptr);
      return to;
    };
    const std::vector<char*> arguments = pointers(program_arguments), environment = pointers(variables);
    process_ = fork();
    if (process_ == 0) {
      const int log_file = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log_file, 1);
      dup2(!toml.empty() && log_descriptor >= 0 ? log_descriptor : log_file, 2);
      if (descriptors > 0) {
        const rlimit limit{descriptors, descriptors};
        setrlimit(RLIMIT_NOFILE, &limit);
      }
      if (pending_signal > 0) {  // stays pending until the program unblocks it
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, pending_signal);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        raise(pending_signal);
      }
      execve(INDIGOSADDLE_PROGRAM, arguments.data(), environment.data());
      _exit(127);
    }
    port = 0;
    Eventually([&] {
      const std::string text = log();
      const std::string mark = "serving address=127.0.0.1:";
      if (const std::size_t at = text.find(mark); at != std::string::npos)
        port = std::stoi(text.substr(at + mark.size()));
      return port > 0 || Ended();
    });
    return port > 0 && ClientStandIn(port).Ask(ClientStandIn::Command({"PING"})) == "+PONG";
  }

  void Signal(int number) const {
    if (process_ > 0) kill(process_, number);  // kill(0) would signal this test's whole process group
  }
  void Kill(int number) {
    Signal(number);
    Wait();
  }
  // Waits for the process to end. Returns its exit status, or the negated signal that ended it.
  int Wait() {
    Eventually([&] { return Ended(); });
    return status_;
  }
  bool Ended() {
    int status = 0;
    if (process_ <= 0) return true;
    if (waitpid(process_, &status, WNOHANG) != process_) return false;
    process_ = 0;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
  }
  std::string log() const { return LogOf(starts_); }
  std::string logs() const {  // of all processes started so far
    std::string all;
    for (int start = 1; start <= starts_; ++start) all += LogOf(start);
    return all;
  }

  nlohmann::json config;
  std::vector<std::string> extra_variables;  // "NAME=value", for its environment
  std::optional<std::string> raw_config;     // text of the file instead of `config`, if set
  std::string toml, kill_at;                 // toml replaces `config` if set; kill_at: --kill-at
  int log_descriptor = -1;  // receives standard error instead of the log file, if not negative
  std::string folder;
  std::string shared_state;  // another process's state folder, if not empty
  int port = 0;

 private:
  std::string LogOf(int start) const {
    std::ifstream file(folder + "/log" + std::to_string(start));
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  static nlohmann::json Class(const char* name, const char* effect) {
    return {{"name", name},  {"effect", effect}, {"group", "all"},      {"keyTtl", 60000.0},
            {"aim", 1000.0}, {"worth", 1.0},     {"deadline", 60000.0}, {"lateValue", 0.4}};
  }

  pid_t process_ = 0;
  int status_ = 0, starts_ = 0;
};

// A fixture with a node, the platform and one endpoint (`settler`) that tests use to wait for effects.
class NodeTest : public ::testing::Test {
 protected:
  NodeTest() : node(platform.address()) {}

  std::string Enqueue(const std::string& id, const std::string& fields, const std::string& body = "body") {
    return ClientStandIn(node.port).Ask(ClientStandIn::Enqueue(id, fields, body));
  }
  // Retries until the node has a list with the destination and accepts the message.
  bool EnqueueOnceListed(const std::string& id, const std::string& fields) {
    return Eventually([&] { return Enqueue(id, fields) == "+OK"; });
  }
  bool HasNotice(const std::string& id, const std::string& state) {
    const auto notices = platform.notices();
    const auto it = notices.find(id);
    return it != notices.end() && it->second.front()["state"] == state;
  }
  // Waits until a new message has been delivered, by when everything started before it has taken effect.
  void Settle(const std::string& id = "settle") {
    ASSERT_TRUE(EnqueueOnceListed(id, "c=safe,d=60000,dest=99"));
    ASSERT_TRUE(Eventually([&] { return settler.CallsFor(id) == 1; }));
  }
  // Adds the endpoint that Settle uses to the list, at destination 99.
  void ListSettler() { platform.Set(PlatformStandIn::Member("settler", settler.address(), 99)); }

  PlatformStandIn platform;
  EndpointStandIn settler;
  NodeProcess node;
};

}  // namespace indigosaddle::testing

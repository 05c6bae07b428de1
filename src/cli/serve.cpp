#include <fmt/format.h>
#include <signal.h>
#include <uv.h>

#include <array>
#include <csignal>
#include <cstring>

#include "base/log.h"
#include "cli/cli.h"
#include "net/loop.h"
#include "node/config_changes.h"
#include "node/node.h"

namespace indigosaddle::cli {
namespace {

// Tells the node to stop on SIGTERM and SIGINT and to read its configuration again on SIGHUP, through the
// loop. Until it is made the three wait, so that one that comes during the start is heard after it.
class Signals {
 public:
  static sigset_t Set() {
    sigset_t set;
    sigemptyset(&set);
    for (int number : kNumbers) sigaddset(&set, number);
    return set;
  }
  static void Hold() {
    const sigset_t set = Set();
    sigprocmask(SIG_BLOCK, &set, nullptr);
  }

  Signals(net::Loop& loop, node::Node& node) : loop_(loop.raw()) {
    for (std::size_t i = 0; i < handles_.size(); ++i) {
      uv_signal_init(loop_, &handles_[i]);
      handles_[i].data = &node;
      uv_signal_start(
          &handles_[i],
          [](uv_signal_t* handle, int number) {
            auto* told = static_cast<node::Node*>(handle->data);
            number == SIGHUP ? told->Reload() : told->Stop();
          },
          kNumbers[i]);
    }
    const sigset_t set = Set();
    sigprocmask(SIG_UNBLOCK, &set, nullptr);
  }
  ~Signals() {
    Hold();
    for (uv_signal_t& handle : handles_) uv_close(reinterpret_cast<uv_handle_t*>(&handle), nullptr);
    uv_run(loop_, UV_RUN_NOWAIT);
  }
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  static constexpr std::array<int, 3> kNumbers = {SIGTERM, SIGINT, SIGHUP};
  std::array<uv_signal_t, 3> handles_{};
  uv_loop_t* loop_;
};

}  // namespace

void Serve(const std::string& file, const std::string& kill_at) {
  std::signal(SIGPIPE, SIG_IGN);
  Signals::Hold();
  node::StepHook step;
  if (!kill_at.empty()) {
    step = [kill_at](const char* name) {
      if (kill_at == name) raise(SIGKILL);
    };
  }
  try {
    node::StartupConfig beginning = node::LoadStartupConfig(node::EdgeEnvironment(), file, step);
    base::Log log(beginning.config.name, beginning.config.log);
    net::Loop loop;
    node::Node node(loop, std::move(beginning), log);
    if (!node.Start()) throw Failure(Exit::kFailed, "");
    const Signals signals(loop, node);
    loop.Run();
  } catch (const node::ConfigError& error) {
    throw Failure(Exit::kBadInput, fmt::format("configuration: {}", error.what()));
  }
}

void AddServe(CLI::App& parent) {
  auto* command = parent.add_subcommand("serve", "Takes messages and delivers them until SIGTERM");
  command->footer("Example:\n  indigosaddle serve --config /etc/indigosaddle.toml");
  auto file = std::make_shared<std::string>(), kill_at = std::make_shared<std::string>();
  command->add_option("--config", *file, "The operator's file (TOML)");
  command
      ->add_option("--kill-at", *kill_at, "For tests: end the process with SIGKILL at the step of that name")
      ->group("");
  command->callback([file, kill_at] { Serve(*file, *kill_at); });
}

}  // namespace indigosaddle::cli

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

// Handles signals in the loop: the node stops on SIGTERM and SIGINT, and reloads its configuration on SIGHUP.
// Block() is called before the node starts, so that signals that arrive during the start stay pending until a
// SignalHandlers is constructed. The destructor blocks them again.
class SignalHandlers {
 public:
  static sigset_t HandledSignals() {
    sigset_t set;
    sigemptyset(&set);
    for (int signal_number : kSignals) sigaddset(&set, signal_number);
    return set;
  }
  static void Block() {
    const sigset_t set = HandledSignals();
    sigprocmask(SIG_BLOCK, &set, nullptr);
  }

  SignalHandlers(net::Loop& loop, node::Node& node) : loop_(loop.raw()) {
    for (std::size_t i = 0; i < handles_.size(); ++i) {
      uv_signal_init(loop_, &handles_[i]);
      handles_[i].data = &node;
      uv_signal_start(
          &handles_[i],
          [](uv_signal_t* handle, int signal_number) {
            auto* signaled_node = static_cast<node::Node*>(handle->data);
            signal_number == SIGHUP ? signaled_node->Reload() : signaled_node->Stop();
          },
          kSignals[i]);
    }
    const sigset_t set = HandledSignals();
    sigprocmask(SIG_UNBLOCK, &set, nullptr);
  }
  ~SignalHandlers() {
    Block();
    for (uv_signal_t& handle : handles_) uv_close(reinterpret_cast<uv_handle_t*>(&handle), nullptr);
    uv_run(loop_, UV_RUN_NOWAIT);
  }
  SignalHandlers(const SignalHandlers&) = delete;
  SignalHandlers& operator=(const SignalHandlers&) = delete;

 private:
  static constexpr std::array<int, 3> kSignals = {SIGTERM, SIGINT, SIGHUP};
  std::array<uv_signal_t, 3> handles_{};
  uv_loop_t* loop_;
};

}  // namespace

void Serve(const std::string& file, const std::string& kill_at) {
  std::signal(SIGPIPE, SIG_IGN);
  SignalHandlers::Block();
  node::StepHook step_hook;
  if (!kill_at.empty()) {
    step_hook = [kill_at](const char* step) {
      if (kill_at == step) raise(SIGKILL);
    };
  }
  try {
    node::StartupConfig startup = node::LoadStartupConfig(node::EdgeEnvironment(), file, step_hook);
    base::Log log(startup.config.name, startup.config.log);
    net::Loop loop;
    node::Node node(loop, std::move(startup), log);
    if (!node.Start()) throw CommandError(ExitStatus::kFailed, "");
    const SignalHandlers signal_handlers(loop, node);
    loop.Run();
  } catch (const node::ConfigError& error) {
    throw CommandError(ExitStatus::kBadInput, fmt::format("configuration: {}", error.what()));
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

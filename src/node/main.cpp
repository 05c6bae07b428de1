#include <array>
#include <csignal>
#include <cstdio>
#include <exception>

#include "node/config.h"
#include "node/logger.h"
#include "node/node.h"

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

  Signals(indigosaddle::net::Loop& loop, indigosaddle::node::Node& node) : loop_(loop.raw()) {
    for (std::size_t i = 0; i < handles_.size(); ++i) {
      uv_signal_init(loop_, &handles_[i]);
      handles_[i].data = &node;
      uv_signal_start(
          &handles_[i],
          [](uv_signal_t* handle, int number) {
            auto* told = static_cast<indigosaddle::node::Node*>(handle->data);
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

int main() {
  namespace node = indigosaddle::node;
  namespace net = indigosaddle::net;
  std::signal(SIGPIPE, SIG_IGN);
  Signals::Hold();
  try {
    const node::Config config = node::LoadConfig(node::EdgeEnvironment());
    node::Logger log(config.name);
    net::Loop loop;
    node::Node node(loop, config, log);
    if (!node.Start()) return 1;
    const Signals signals(loop, node);
    loop.Run();
    return 0;
  } catch (const node::ConfigError& error) {
    fmt::print(stderr, "indigosaddle: configuration: {}\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    fmt::print(stderr, "indigosaddle: {}\n", error.what());
    return 1;
  }
}

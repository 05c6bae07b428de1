#include <csignal>
#include <cstdio>
#include <exception>

#include "node/config.h"
#include "node/logger.h"
#include "node/node.h"

namespace {

// Tells the node to stop on SIGTERM and SIGINT, through the loop.
class Signals {
 public:
  Signals(indigosaddle::net::Loop& loop, indigosaddle::node::Node& node) {
    int number[] = {SIGTERM, SIGINT};
    for (int i = 0; i < 2; ++i) {
      uv_signal_init(loop.raw(), &handles_[i]);
      handles_[i].data = &node;
      uv_signal_start(
          &handles_[i],
          [](uv_signal_t* handle, int) { static_cast<indigosaddle::node::Node*>(handle->data)->Stop(); },
          number[i]);
    }
    loop_ = loop.raw();
  }
  ~Signals() {
    for (uv_signal_t& handle : handles_) uv_close(reinterpret_cast<uv_handle_t*>(&handle), nullptr);
    uv_run(loop_, UV_RUN_NOWAIT);
  }
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  uv_signal_t handles_[2]{};
  uv_loop_t* loop_;
};

}  // namespace

int main() {
  namespace node = indigosaddle::node;
  namespace net = indigosaddle::net;
  std::signal(SIGPIPE, SIG_IGN);
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

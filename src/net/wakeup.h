// Calls a function on a loop when any thread asks for it; several asks may become one call.
#pragma once

#include <uv.h>

#include <functional>

#include "net/loop.h"

namespace indigosaddle::net {

class Wakeup {
 public:
  Wakeup(Loop& loop, std::function<void()> called) : handle_(new Handle{{}, std::move(called)}) {
    uv_async_init(loop.raw(), &handle_->async, [](uv_async_t* async) {
      const std::function<void()> called_now = static_cast<Handle*>(async->data)->called;  // may destroy it
      if (called_now) called_now();
    });
    handle_->async.data = handle_;
  }
  ~Wakeup() {  // on the loop's thread, once no other thread asks any more
    handle_->called = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->async),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
  }
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;

  void Ask() { uv_async_send(&handle_->async); }  // from any thread

 private:
  struct Handle {
    uv_async_t async;
    std::function<void()> called;
  };
  Handle* handle_;
};

}  // namespace indigosaddle::net

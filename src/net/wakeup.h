// Lets any thread call a function on a loop's thread.
#pragma once

#include <uv.h>

#include <functional>

#include "net/loop.h"

namespace indigosaddle::net {

// Calls `callback` on the loop's thread after Request; several requests may become one call. To be destroyed
// on the loop's thread, once no other thread uses it.
class Wakeup {
 public:
  Wakeup(Loop& loop, std::function<void()> callback) : handle_(new Handle{{}, std::move(callback)}) {
    uv_async_init(loop.raw(), &handle_->async, [](uv_async_t* async) {
      const std::function<void()> running = static_cast<Handle*>(async->data)->callback;  // may destroy this
      if (running) running();
    });
    handle_->async.data = handle_;
  }
  ~Wakeup() {
    handle_->callback = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->async),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
  }
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;

  // May be called from any thread.
  void Request() { uv_async_send(&handle_->async); }

 private:
  struct Handle {
    uv_async_t async;
    std::function<void()> callback;
  };
  Handle* handle_;
};

}  // namespace indigosaddle::net

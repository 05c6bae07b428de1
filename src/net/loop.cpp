#include "net/loop.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace indigosaddle::net {
Loop::Loop() {
  if (const int error = uv_loop_init(&loop_); error != 0) throw std::runtime_error(uv_strerror(error));
  loop_.data = this;
  SetTime(std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch()));
}

Loop::~Loop() {
  uv_run(&loop_, UV_RUN_NOWAIT);  // runs the close callbacks of handles
  uv_loop_close(&loop_);
}

void Loop::SetTime(Micros now) {
  time_origin_ = now;
  steady_origin_ = uv_hrtime();
}

Micros Loop::Now() const {
  const auto elapsed = std::chrono::nanoseconds(uv_hrtime() - steady_origin_);
  return time_origin_ + std::chrono::duration_cast<Micros>(elapsed);
}

Timer::Timer(Loop& loop, std::function<void()> callback)
    : handle_(new Handle), callback_(std::move(callback)) {
  handle_->owner = this;
  uv_timer_init(loop.raw(), &handle_->timer);
  handle_->timer.data = handle_;
}

Timer::~Timer() {
  handle_->owner = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->timer),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::Start(Micros after) {
  // Rounded up: a timer that runs a fraction of a millisecond early would find nothing to do. And at least
  // 1 ms if started within its own callback: libuv would otherwise run it again in this pass, without end.
  const auto millis = std::max<std::int64_t>(handle_->in_callback ? 1 : 0,
                                             std::chrono::ceil<std::chrono::milliseconds>(after).count());
  uv_update_time(handle_->timer.loop);
  uv_timer_start(
      &handle_->timer,
      [](uv_timer_t* timer) {
        auto* handle = static_cast<Handle*>(timer->data);
        if (handle->owner != nullptr) {
          // A copy, as the callback may destroy its timer. It can't destroy the handle.
          const std::function<void()> callback = handle->owner->callback_;
          handle->in_callback = true;
          callback();
          handle->in_callback = false;
        }
      },
      static_cast<std::uint64_t>(millis), 0);
}

void Timer::Stop() { uv_timer_stop(&handle_->timer); }

}  // namespace indigosaddle::net

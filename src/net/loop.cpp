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
  uv_run(&loop_, UV_RUN_NOWAIT);  // lets closing handles finish
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

Timer::Timer(Loop& loop, std::function<void()> due) : handle_(new Handle), due_(std::move(due)) {
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
  // Rounded up: a timer that is early by a fraction of a millisecond would find nothing due.
  // One that is due again at once would hold the loop in its timers for ever.
  const auto millis = std::max<std::int64_t>(handle_->due ? 1 : 0,
                                             std::chrono::ceil<std::chrono::milliseconds>(after).count());
  uv_update_time(handle_->timer.loop);
  uv_timer_start(
      &handle_->timer,
      [](uv_timer_t* timer) {
        auto* handle = static_cast<Handle*>(timer->data);
        if (handle->owner != nullptr) {
          const std::function<void()> due = handle->owner->due_;  // may destroy its timer, not the handle
          handle->due = true;
          due();
          handle->due = false;
        }
      },
      static_cast<std::uint64_t>(millis), 0);
}

void Timer::Stop() { uv_timer_stop(&handle_->timer); }

}  // namespace indigosaddle::net

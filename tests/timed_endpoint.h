// An endpoint that answers 200 and records when each call arrived, for tests of from when calls must stop.
#pragma once

#include <algorithm>
#include <mutex>
#include <vector>

#include "http_stand_ins.h"

namespace indigosaddle::testing {

// Thread-safe.
class TimedEndpoint {
 public:
  std::string address() const { return endpoint_.address(); }
  int CallsFor(const std::string& id) { return endpoint_.CallsFor(id); }
  // When each call since the start or the last Clear arrived.
  std::vector<Clock::time_point> call_times() {
    const std::lock_guard lock(mutex_);
    return call_times_;
  }
  void Clear() {
    const std::lock_guard lock(mutex_);
    call_times_.clear();
  }

 private:
  std::mutex mutex_;
  std::vector<Clock::time_point> call_times_;
  EndpointStandIn endpoint_{[this](Socket& s, const HttpRequest&, int) {
    {
      const std::lock_guard lock(mutex_);
      call_times_.push_back(Clock::now());
    }
    return s.Write(Answer(200));
  }};
};

}  // namespace indigosaddle::testing

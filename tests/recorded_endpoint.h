// An endpoint that sends duplicates of some of its answers, and the record of its calls. Tests check the
// delivery rules against this record, not against what the node reports.
#pragma once

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "delayed_writes.h"
#include "http_stand_ins.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;

// A range from which a delay is drawn uniformly, both ends included.
struct DelayRange {
  milliseconds least{0}, most{0};
};

// How an endpoint answers. The doubles are shares of its calls from 0 to 1.
struct AnswerBehavior {
  DelayRange service_time{milliseconds(20), milliseconds(120)};
  DelayRange duplicate_delay{milliseconds(0), milliseconds(0)};
  double duplicated = 0, refused = 0.04;
  bool truncate_duplicates = false;  // a duplicate is only the first half of its answer
  std::string refusal = Answer(503);
  double error = 0, reset = 0, silent = 0;  // a 500, a connection reset, no answer
};

// A call as the endpoint saw it: from the last byte of its request to its own answer, or to the end of its
// connection.
struct RecordedCall {
  Clock::time_point started_at, ended_at;
  int status = 0;  // 0 if its connection ended before an answer
};

// The calls at all endpoints of a test by message ID. Thread-safe.
class CallRecord {
 public:
  void Add(const std::string& id, const RecordedCall& call) {
    const std::lock_guard lock(mutex_);
    calls_[id].push_back(call);
  }
  std::map<std::string, std::vector<RecordedCall>> calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<RecordedCall>> calls_;
};

// Whether two of these calls of one message ran at the same time. The tolerance is larger for a connection
// closed by the node, since a busy machine notices the close late.
inline bool AnyRanConcurrently(std::vector<RecordedCall> calls) {
  constexpr milliseconds kAnswerTolerance(2), kCloseTolerance(200);
  std::sort(calls.begin(), calls.end(),
            [](const auto& a, const auto& b) { return a.started_at < b.started_at; });
  for (std::size_t i = 1; i < calls.size(); ++i)
    if (calls[i].started_at + (calls[i - 1].status == 0 ? kCloseTolerance : kAnswerTolerance) <
        calls[i - 1].ended_at)
      return true;
  return false;
}

// Whether one of these calls was answered with 200.
inline bool AnyDelivered(const std::vector<RecordedCall>& calls) {
  return std::any_of(calls.begin(), calls.end(), [](const RecordedCall& call) { return call.status == 200; });
}

// An endpoint that answers by `behavior`, with draws from `seed`. `record` and `delayed_writes`
// must outlive it.
class RecordedEndpoint {
 public:
  RecordedEndpoint(CallRecord& record, DelayedWrites& delayed_writes, std::uint64_t seed,
                   AnswerBehavior behavior)
      : record_(record),
        delayed_writes_(delayed_writes),
        random_(seed),
        behavior_(std::move(behavior)),
        endpoint_([this](Socket& s, const HttpRequest& r, int) { return React(s, r); }) {}

  std::string address() const { return endpoint_.address(); }
  int connections() { return endpoint_.server().accepted; }
  int duplicates() const { return duplicates_; }
  // The number of calls that started at or after `from`.
  int CallsStartedSince(Clock::time_point from) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(call_starts_.begin(), call_starts_.end(),
                                          [&](Clock::time_point start) { return start >= from; }));
  }
  void Stop() { endpoint_.server().Stop(); }

 private:
  static constexpr milliseconds kSilence{60000};
  enum class Kind : std::uint8_t { kServed, kRefused, kError, kReset, kSilent };
  struct Draws {
    milliseconds service_time{0}, duplicate_delay{0};
    Kind kind = Kind::kServed;
    bool duplicated = false;
  };
  static int StatusOf(Kind kind) {
    return kind == Kind::kServed ? 200 : kind == Kind::kRefused ? 503 : kind == Kind::kError ? 500 : 0;
  }
  std::string AnswerOf(Kind kind) const {
    if (kind == Kind::kRefused) return behavior_.refusal;
    return StatusOf(kind) == 0 ? "" : Answer(StatusOf(kind));
  }
  Kind DrawKind() {
    double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    if ((draw -= behavior_.refused) < 0) return Kind::kRefused;
    if ((draw -= behavior_.error) < 0) return Kind::kError;
    if ((draw -= behavior_.reset) < 0) return Kind::kReset;
    return draw - behavior_.silent < 0 ? Kind::kSilent : Kind::kServed;
  }

  bool React(Socket& socket, const HttpRequest& request) {
    RecordedCall call{Clock::now(), {}, 0};
    const Draws draw = Draw();
    const bool stays = StaysOpenFor(socket, draw.kind == Kind::kSilent ? kSilence : draw.service_time);
    if (draw.kind == Kind::kReset) socket.Reset();
    const std::string answer = AnswerOf(draw.kind);
    call.ended_at = Clock::now();  // taken before the other side can know of the answer
    if (stays && !answer.empty() && socket.Write(answer)) call.status = StatusOf(draw.kind);
    record_.Add(request.headers.at("x-trace-id"), call);
    if (call.status == 0) return false;
    if (draw.duplicated) {
      ++duplicates_;
      delayed_writes_.Write(socket, draw.duplicate_delay,
                            behavior_.truncate_duplicates ? answer.substr(0, answer.size() / 2) : answer);
    }
    return true;
  }
  // Waits for `delay`. Returns false at once if the other side closes the connection meanwhile.
  static bool StaysOpenFor(const Socket& socket, milliseconds delay) {
    pollfd end{socket.get(), POLLRDHUP, 0};
    return poll(&end, 1, static_cast<int>(delay.count())) == 0;
  }
  Draws Draw() {
    const std::lock_guard lock(mutex_);
    const auto chance = [&](double share) { return std::bernoulli_distribution(share)(random_); };
    call_starts_.push_back(Clock::now());
    return {DrawFrom(behavior_.service_time), DrawFrom(behavior_.duplicate_delay), DrawKind(),
            chance(behavior_.duplicated)};
  }
  milliseconds DrawFrom(const DelayRange& range) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(range.least.count(), range.most.count())(random_));
  }

  CallRecord& record_;
  DelayedWrites& delayed_writes_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  const AnswerBehavior behavior_;
  std::vector<Clock::time_point> call_starts_;
  std::atomic<int> duplicates_{0};
  EndpointStandIn endpoint_;
};

}  // namespace indigosaddle::testing

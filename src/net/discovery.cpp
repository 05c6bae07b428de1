#include "net/discovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr std::size_t kMaxTextBytes = std::size_t{8} * 1024 * 1024;  // of a list or a line
// A node counts as knowing a change 6 s after discovery had it and was reachable, whatever happened before. A
// watch gets a line every 2 s; one without is broken, and the request that replaces it has the other two
// timeouts. docs/design/005-endings.md adds them up for each way in which a response can fail to come.

// Of an open watch, since its last complete line.
constexpr Micros kWatchLineTimeout = std::chrono::milliseconds(3100);
// From the request until the response begins.
constexpr Micros kMaxResponseTimeout = std::chrono::seconds(3);
// From the request to the first complete line or list.
constexpr Micros kFirstUpdateTimeout = std::chrono::milliseconds(2600);
// For failures after which a retry costs discovery nothing.
const RequestPacing kSingleNodePacing = RequestPacingFor(1, Micros(0));

}  // namespace

DiscoveryClient::DiscoveryClient(Loop& loop, Handler& handler, std::string address,
                                 const RequestPacing& pacing, std::uint64_t seed)
    : loop_(loop),
      handler_(handler),
      address_(std::move(address)),
      reader_(std::numeric_limits<std::size_t>::max(), {}, [this](std::string_view bytes) { OnBody(bytes); }),
      response_timer_(loop, [this] { OnResponseTimeout(); }),
      request_timer_(loop,
                     [this] {
                       request_scheduled_ = false;
                       closed_stream_.reset();
                       SendRequest();
                     }),
      initial_jitter_(pacing.initial_jitter),
      failure_backoff_(kSingleNodePacing.min_retry_delay, kSingleNodePacing.max_retry_delay, seed),
      refusal_backoff_(pacing.min_retry_delay, pacing.max_retry_delay, seed + 1),
      initial_response_timeout_(pacing.response_timeout),
      response_timeout_(initial_response_timeout_) {}

// Without a list nothing can be delivered, so a node that holds none asks for it without jitter.
void DiscoveryClient::Start(std::optional<std::uint64_t> held_version) {
  version_ = held_version;
  held_version ? ScheduleRequest(failure_backoff_.Jitter(initial_jitter_)) : SendRequest();
}

// A scheduled request keeps its time: sent at once, it would coincide with those of all other nodes.
void DiscoveryClient::Renew() {
  if (stream_ == nullptr && !request_scheduled_) ScheduleRequest(Micros(0));
}

void DiscoveryClient::RequestSoon() {
  if (stream_ != nullptr || !request_scheduled_) return;
  failure_backoff_.Reset();
  refusal_backoff_.Reset();
  ScheduleRequest(failure_backoff_.Jitter(initial_jitter_));
}

void DiscoveryClient::ScheduleRequest(Micros delay) {
  request_scheduled_ = true;
  request_timer_.Start(delay);
}

void DiscoveryClient::SendRequest() {
  if (stream_ != nullptr) return;
  watching_ = version_.has_value();
  text_.clear();
  nesting_ = {};
  reader_.Reset();
  stream_ = std::make_unique<Stream>(loop_, static_cast<Stream::Listener&>(*this));
  requested_at_ = loop_.Now();
  connected_ = head_received_ = body_received_ = update_received_ = false;
  response_timer_.Start(response_timeout_);
  if (stream_->Connect(address_) != 0) OnFailure("can't connect", Failure::kNoResponse);
}

void DiscoveryClient::OnConnected(int error) {
  if (error != 0) return OnFailure(uv_strerror(error), Failure::kNoResponse);
  connected_ = true;
  const std::string path =
      watching_ ? fmt::format("/catalog/members?watch=1&from={}", *version_) : "/catalog/members";
  if (stream_->StartReading() != 0 ||
      stream_->Write(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path,
                                 address_)) != 0) {
    OnFailure("can't ask");
  }
}

void DiscoveryClient::OnBytes(std::string_view bytes) {
  if (stream_ == nullptr) return;
  const bool valid = reader_.Read(bytes);
  if (stream_ == nullptr) return;  // the body made it fail
  if (reader_.head_done() && reader_.status() != 200)
    return OnFailure(fmt::format("status {}", reader_.status()), Failure::kRefused);
  if (!reader_.done()) {
    if (!valid) return OnFailure("unreadable", Failure::kMalformed);
    if (reader_.head_done() && !update_received_ && !std::exchange(head_received_, true)) {
      response_timer_.Start(std::max(
          Micros(0), requested_at_ + std::max(response_timeout_, kFirstUpdateTimeout) - loop_.Now()));
    }
    return;
  }
  body_received_ = true;
  if (watching_) return OnFailure("the watch ended");
  HandleUpdate(std::exchange(text_, {}));
  if (!version_) return OnFailure("no whole list that can be read", Failure::kMalformed);
  if (stream_ == nullptr) return;
  // The watch follows, on a new connection.
  CloseStream();
  ScheduleRequest(Micros(0));
}

void DiscoveryClient::OnResponseTimeout() {
  if (connected_ && stream_ != nullptr && RestartIfUnread(response_timer_, *stream_)) return;
  OnFailure("silent", update_received_ ? Failure::kTimedOut : Failure::kNoResponse);
}

void DiscoveryClient::OnEnd(int error) {
  if (stream_ != nullptr) OnFailure(uv_strerror(error));
}

void DiscoveryClient::OnBody(std::string_view bytes) {
  if (reader_.status() != 200 || stream_ == nullptr) return;
  body_received_ = true;
  if (!watching_) {
    text_.append(bytes);
  } else {
    while (!bytes.empty() && stream_ != nullptr) {
      const std::size_t end = bytes.find('\n');
      text_.append(bytes.substr(0, end));
      nesting_.Add(bytes.substr(0, end));
      if (end == std::string_view::npos) break;
      bytes.remove_prefix(end + 1);
      if (nesting_.open()) continue;
      response_timer_.Start(kWatchLineTimeout);
      while (!text_.empty() && text_.back() == '\r') text_.pop_back();
      text_.empty() ? OnConfirmed() : HandleUpdate(std::exchange(text_, {}));
    }
  }
  if (text_.size() > kMaxTextBytes && stream_ != nullptr)
    OnFailure("a list that is too long", Failure::kMalformed);
}

void DiscoveryClient::HandleUpdate(std::string_view json) {
  std::optional<MemberListUpdate> update = ParseMembers(json);
  // A watch begins with the changes since `version_` or with the whole list, whose version may be lower.
  // After that, versions never decrease.
  const bool may_be_older = !watching_ || (update && update->whole && !update_received_);
  const bool outdated = update && !may_be_older && update->version < *version_;
  if (!update || outdated) {
    version_.reset();  // the whole list contains what was missed
    if (watching_) OnFailure(outdated ? "news older than the list" : "unreadable line", Failure::kMalformed);
    return;
  }
  const bool usable = watching_ || update->whole;  // a change in place of the whole list is not enough
  const bool incomplete = !update->whole && update->incomplete;
  if (usable) version_ = update->version;
  handler_.OnMembers(std::move(*update));
  if (usable) OnConfirmed();
  if (!usable || !incomplete || stream_ == nullptr) return;
  version_.reset();
  OnFailure("a change with an entry that can't be read", Failure::kMalformed);
}

// A discovery that refuses may be overloaded, so each refusal lengthens the delay. A watch that ended may
// have ended for all nodes at this instant, so the delay gets jitter. A watch that timed out gets none: much
// of the time by which a new one must be open has passed.
void DiscoveryClient::OnFailure(std::string_view reason, Failure failure) {
  response_timer_.Stop();
  CloseStream();
  if (failure == Failure::kRefused) {
    ScheduleRequest(refusal_backoff_.NextDelay());
  } else {
    // If discovery is slow, more requests would only add to its load.
    if (failure == Failure::kNoResponse)
      response_timeout_ = std::min(2 * response_timeout_, kMaxResponseTimeout);
    ScheduleRequest(failure_backoff_.NextDelay() +
                    (failure == Failure::kEnded ? failure_backoff_.Jitter(initial_jitter_) : Micros(0)));
  }
  handler_.OnWatchLost(reason, {ListFailureOf(failure), requested_at_, loop_.Now()});
}

// Discovery that has begun to send a list or a line can be reached, however the response ends.
ListFailure DiscoveryClient::ListFailureOf(Failure failure) const {
  if (body_received_ && !update_received_) return ListFailure::kNoList;
  switch (failure) {
    case Failure::kEnded:
    case Failure::kTimedOut: return ListFailure::kConnectionLost;
    case Failure::kNoResponse: return ListFailure::kNoResponse;
    case Failure::kMalformed:  // what could not be read may have been a change
    case Failure::kRefused: return ListFailure::kNoList;
  }
  return ListFailure::kNoList;
}

// No callback of the stream comes any more. It is deleted later, as it may be in one of its callbacks.
void DiscoveryClient::CloseStream() {
  if (stream_ == nullptr) return;
  stream_->Close();
  closed_stream_ = std::move(stream_);
}

// A complete line or list arrived and could be read. Bytes that complete neither confirm nothing.
void DiscoveryClient::OnConfirmed() {
  update_received_ = true;
  response_timeout_ = initial_response_timeout_;
  failure_backoff_.Reset();
  refusal_backoff_.Reset();
  handler_.OnListConfirmed();
}

}  // namespace indigosaddle::net

#include "net/call_pool.h"

#include <algorithm>
#include <utility>

#include "net/call_connection.h"

namespace indigosaddle::net {
namespace {

// An idle connection is closed this long before the peer may close it (Limits::idle_close), or a quarter of
// idle_close if that is less, so that a request on its way arrives in time.
constexpr Micros kIdleMargin = std::chrono::milliseconds(500);
constexpr Micros kSweepInterval = std::chrono::milliseconds(250);

}  // namespace

CallPool::CallPool(Loop& loop, Limits limits, std::function<StartPermit(std::uint64_t)> may_start,
                   std::function<void(const CallResult&)> on_finished)
    : loop_(loop),
      limits_(limits),
      may_start_(std::move(may_start)),
      on_finished_(std::move(on_finished)),
      sweep_timer_(loop, [this] { CloseExpiredIdle(); }),
      deletion_timer_(loop, [this] { closed_.clear(); }) {
  sweep_timer_.Start(kSweepInterval);
}

CallPool::~CallPool() = default;

void CallPool::Start(const CallRequest& request) {
  std::unique_ptr<Connection> connection = TakeIdle(request);
  const bool connect = connection == nullptr;
  if (connect) {
    if (connections() >= limits_.max_connections) CloseOldestIdle();
    connection = std::make_unique<Connection>(*this, request.endpoint, request.address, ++counts_.opened);
  } else {
    ++counts_.reused;
  }
  Connection* raw = connection.get();
  busy_.emplace(raw, std::move(connection));
  raw->StartCall(request, connect);
}

void CallPool::OnCallFinished(Connection& connection, const CallResult& result, AfterCall after,
                              DenialReason why) {
  auto node = busy_.extract(&connection);
  if (node.empty()) return;
  if (state::IsAnswer(result.attempt_result) && !connection.answer_accepted())
    ReportTrustViolation(connection, DenialReason::kWrongState);
  if (after == AfterCall::kKeep) {
    KeepIdle(std::move(node.mapped()));
  } else if (after == AfterCall::kReadRest) {
    connection.AwaitRest();
    reading_rest_.insert(std::move(node));
  } else {
    ReportClosed(connection, why);
    CloseAndDeleteLater(std::move(node.mapped()));
  }
  on_finished_(result);
}

void CallPool::OnRestFinished(Connection& connection, DenialReason why) {
  auto node = reading_rest_.extract(&connection);
  if (node.empty()) return;
  if (why == DenialReason::kNone) return KeepIdle(std::move(node.mapped()));
  ReportClosed(connection, why);
  CloseAndDeleteLater(std::move(node.mapped()));
}

void CallPool::KeepIdle(std::unique_ptr<Connection> connection) {
  connection->BecomeIdle();
  idle_[connection->endpoint()].push_back(std::move(connection));
  ++idle_count_;
}

void CallPool::OnIdleInput(Connection& connection, std::string_view bytes) {
  IdleConnections& idle = idle_[connection.endpoint()];
  const auto it =
      std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c.get() == &connection; });
  if (it == idle.end()) return;
  std::unique_ptr<Connection> removed = std::move(*it);
  idle.erase(it);
  --idle_count_;
  ReportClosed(connection, bytes.empty() ? DenialReason::kEndedByPeer : DenialReason::kUnreadInput);
  if (!bytes.empty())
    HandleUnsolicitedData(connection, DenialReason::kUnreadInput, bytes.size(), RetryAfterIn(bytes));
  CloseAndDeleteLater(std::move(removed));
}

std::size_t CallPool::idle(const std::string& endpoint, const std::string& address,
                           bool first_call_only) const {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [&](const auto& c) {
    return c->CheckSendCall(address, first_call_only) == DenialReason::kNone;
  }));
}

std::unique_ptr<CallPool::Connection> CallPool::TakeIdle(const CallRequest& request) {
  const auto it = idle_.find(request.endpoint);
  if (it == idle_.end()) return nullptr;
  IdleConnections& idle = it->second;
  DenialReason first_denial = DenialReason::kNone;
  for (std::size_t index = 0; index < idle.size();) {
    const DenialReason why = idle[index]->CheckSendCall(request.address, request.first_call_only);
    if (first_denial == DenialReason::kNone) first_denial = why;
    if (why == DenialReason::kSettling || why == DenialReason::kFirstCallOnly) {
      ++index;
      continue;
    }
    // The unread bytes are read in this pass of the loop, and make all connections of this endpoint suspect.
    if (why == DenialReason::kUnreadInput && idle[index]->unread() > 0) break;
    std::unique_ptr<Connection> connection = std::move(idle[index]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
    --idle_count_;
    if (why == DenialReason::kNone) return connection;
    ReportClosed(*connection, why);
  }
  ++counts_.not_reused[static_cast<std::size_t>(first_denial)];
  return nullptr;
}

bool CallPool::IdleTooLong(const Connection& connection) const {
  const Micros limit = limits_.idle_close - std::min<Micros>(kIdleMargin, limits_.idle_close / 4);
  return limits_.idle_close > Micros(0) && loop_.Now() - connection.lifecycle().since() >= limit;
}

void CallPool::CloseOldestIdle() {
  IdleConnections* oldest = nullptr;
  for (auto& [endpoint, idle] : idle_) {
    if (!idle.empty() &&
        (oldest == nullptr || idle.front()->lifecycle().since() < oldest->front()->lifecycle().since())) {
      oldest = &idle;
    }
  }
  if (oldest == nullptr) return;
  ReportClosed(*oldest->front(), DenialReason::kNone);
  oldest->erase(oldest->begin());
  --idle_count_;
}

void CallPool::CloseIdle(const std::string& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  const DenialReason why =
      suspects_.IsSuspect(endpoint, loop_.Now()) ? DenialReason::kSuspectEndpoint : DenialReason::kNone;
  for (const auto& connection : it->second) ReportClosed(*connection, why);
  idle_count_ -= it->second.size();
  idle_.erase(it);
}

void CallPool::CloseAllIdle() {
  while (!idle_.empty()) CloseIdle(std::string(idle_.begin()->first));
}

void CallPool::EndUnstarted() {
  std::vector<Connection*> unstarted;
  for (const auto& [raw, connection] : busy_)
    if (!connection->connected()) unstarted.push_back(raw);
  for (Connection* connection : unstarted) connection->EndUnstarted();
}

void CallPool::Close() {
  for (auto& [raw, connection] : busy_) connection->Close();
  for (auto& [raw, connection] : reading_rest_) connection->Close();
  busy_.clear();
  reading_rest_.clear();
  idle_.clear();
  closed_.clear();
  idle_count_ = 0;
  sweep_timer_.Stop();
  deletion_timer_.Stop();
}

void CallPool::CloseExpiredIdle() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    idle_count_ -= std::erase_if(it->second, [this](const auto& connection) {
      if (!IdleTooLong(*connection)) return false;
      ReportClosed(*connection, DenialReason::kIdleTooLong);
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  sweep_timer_.Start(kSweepInterval);
}

// Closes the connection at once, although it may be in one of its callbacks: the next attempt at the same
// message must find no earlier call still open.
void CallPool::CloseAndDeleteLater(std::unique_ptr<Connection> connection) {
  connection->Close();
  closed_.push_back(std::move(connection));
  deletion_timer_.Start(Micros(0));
}

}  // namespace indigosaddle::net

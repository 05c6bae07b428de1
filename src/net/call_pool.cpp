#include "net/call_pool.h"

#include <algorithm>
#include <utility>

#include "net/call_connection.h"

namespace indigosaddle::net {
namespace {

// An idle connection is closed this much before the other side may, a quarter of its time at most: a request
// on its way must arrive in time.
constexpr Micros kIdleMargin = std::chrono::milliseconds(500);
constexpr Micros kSweepEvery = std::chrono::milliseconds(250);

}  // namespace

CallPool::CallPool(Loop& loop, Limits limits, std::function<StartPermit(std::uint64_t)> may_start,
                   std::function<void(const CallResult&)> ended)
    : loop_(loop),
      limits_(limits),
      may_start_(std::move(may_start)),
      ended_(std::move(ended)),
      sweep_(loop, [this] { CloseWorn(); }),
      bury_(loop, [this] { buried_.clear(); }) {
  sweep_.Start(kSweepEvery);
}

CallPool::~CallPool() = default;

void CallPool::Start(const CallRequest& request) {
  std::unique_ptr<Connection> connection = TakeIdle(request);
  const bool connect = connection == nullptr;
  if (connect) {
    if (connections() >= limits_.most_connections) DropOldestIdle();
    connection = std::make_unique<Connection>(*this, request.host, request.dial, ++counts_.opened);
  } else {
    ++counts_.reused;
  }
  Connection* raw = connection.get();
  busy_.emplace(raw, std::move(connection));
  raw->Begin(request, connect);
}

void CallPool::Finished(Connection& connection, const CallResult& result, After after, DenialReason why) {
  auto node = busy_.extract(&connection);
  if (node.empty()) return;
  if (state::IsAnswer(result.ending) && !connection.judged()) Break(connection, DenialReason::kWrongState);
  if (after == After::kKeep) {
    KeepIdle(std::move(node.mapped()));
  } else if (after == After::kAwaitRest) {
    connection.AwaitRest();
    rest_.insert(std::move(node));
  } else {
    ClosedFor(connection, why);
    Bury(std::move(node.mapped()));
  }
  ended_(result);
}

void CallPool::RestEnded(Connection& connection, DenialReason why) {
  auto node = rest_.extract(&connection);
  if (node.empty()) return;
  if (why == DenialReason::kNone) return KeepIdle(std::move(node.mapped()));
  ClosedFor(connection, why);
  Bury(std::move(node.mapped()));
}

void CallPool::KeepIdle(std::unique_ptr<Connection> connection) {
  connection->Settle();
  idle_[connection->host()].push_back(std::move(connection));
  ++idle_count_;
}

// It ended, or said something that nobody asked for.
void CallPool::IdleEnded(Connection& connection, std::string_view bytes) {
  Idle& idle = idle_[connection.host()];
  const auto it =
      std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c.get() == &connection; });
  if (it == idle.end()) return;
  std::unique_ptr<Connection> ended = std::move(*it);
  idle.erase(it);
  --idle_count_;
  ClosedFor(connection, bytes.empty() ? DenialReason::kEndedByPeer : DenialReason::kUnreadInput);
  if (!bytes.empty()) Said(connection, DenialReason::kUnreadInput, bytes.size(), UnaskedWait(bytes));
  Bury(std::move(ended));
}

std::size_t CallPool::idle(const std::string& host, const std::string& dial, bool first_call_only) const {
  const auto it = idle_.find(host);
  if (it == idle_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [&](const auto& c) {
    return c->MayCarry(dial, first_call_only) == DenialReason::kNone;
  }));
}

std::unique_ptr<CallPool::Connection> CallPool::TakeIdle(const CallRequest& request) {
  const auto it = idle_.find(request.host);
  if (it == idle_.end()) return nullptr;
  Idle& idle = it->second;
  DenialReason first_why = DenialReason::kNone;
  for (std::size_t at = 0; at < idle.size();) {
    const DenialReason why = idle[at]->MayCarry(request.dial, request.first_call_only);
    if (first_why == DenialReason::kNone) first_why = why;
    if (why == DenialReason::kSettling || why == DenialReason::kFirstCallOnly) {
      ++at;
      continue;
    }
    // What lies there is read in this pass of the loop, and speaks against all others of this endpoint.
    if (why == DenialReason::kUnreadInput && idle[at]->unread() > 0) break;
    std::unique_ptr<Connection> connection = std::move(idle[at]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    --idle_count_;
    if (why == DenialReason::kNone) return connection;
    ClosedFor(*connection, why);
  }
  ++counts_.not_reused[static_cast<std::size_t>(first_why)];
  return nullptr;
}

bool CallPool::Worn(const Connection& connection) const {
  const Micros limit = limits_.idle_close - std::min<Micros>(kIdleMargin, limits_.idle_close / 4);
  return limits_.idle_close > Micros(0) && loop_.Now() - connection.life().since() >= limit;
}

void CallPool::DropOldestIdle() {
  Idle* oldest = nullptr;
  for (auto& [dial, idle] : idle_) {
    if (!idle.empty() &&
        (oldest == nullptr || idle.front()->life().since() < oldest->front()->life().since())) {
      oldest = &idle;
    }
  }
  if (oldest == nullptr) return;
  ClosedFor(*oldest->front(), DenialReason::kNone);
  oldest->erase(oldest->begin());
  --idle_count_;
}

void CallPool::CloseIdle(const std::string& host) {
  const auto it = idle_.find(host);
  if (it == idle_.end()) return;
  const DenialReason why =
      suspects_.IsSuspect(host, loop_.Now()) ? DenialReason::kSuspectEndpoint : DenialReason::kNone;
  for (const auto& connection : it->second) ClosedFor(*connection, why);
  idle_count_ -= it->second.size();
  idle_.erase(it);
}

void CallPool::CloseAllIdle() {
  while (!idle_.empty()) CloseIdle(std::string(idle_.begin()->first));
}

void CallPool::EndUnstarted() {
  std::vector<Connection*> unstarted;
  for (const auto& [raw, connection] : busy_)
    if (!connection->up()) unstarted.push_back(raw);
  for (Connection* connection : unstarted) connection->EndUnstarted();
}

void CallPool::Close() {
  for (auto& [raw, connection] : busy_) connection->Close();
  for (auto& [raw, connection] : rest_) connection->Close();
  busy_.clear(), rest_.clear(), idle_.clear(), buried_.clear();
  idle_count_ = 0;
  sweep_.Stop(), bury_.Stop();
}

void CallPool::CloseWorn() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    idle_count_ -= std::erase_if(it->second, [this](const auto& connection) {
      if (!Worn(*connection)) return false;
      ClosedFor(*connection, DenialReason::kIdleTooLong);
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  sweep_.Start(kSweepEvery);
}

// Closed at once, though it may be in one of its callbacks: what is tried next for the same message must find
// no earlier call still open.
void CallPool::Bury(std::unique_ptr<Connection> connection) {
  connection->Close();
  buried_.push_back(std::move(connection));
  bury_.Start(Micros(0));
}

}  // namespace indigosaddle::net

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
      sweep_(loop, [this] { CloseStale(); }),
      bury_(loop, [this] { buried_.clear(); }) {
  sweep_.Start(kSweepEvery);
}

CallPool::~CallPool() = default;

void CallPool::Start(const CallRequest& request) {
  std::unique_ptr<Connection> connection = TakeIdle(request.host, request.dial);
  const bool connect = connection == nullptr;
  if (connect) {
    if (connections() >= limits_.most_connections) DropOldestIdle();
    connection = std::make_unique<Connection>(*this, request.host, request.dial);
    ++opened_;
  }
  Connection* raw = connection.get();
  busy_.emplace(raw, std::move(connection));
  raw->Begin(request, connect);
}

void CallPool::Finished(Connection& connection, const CallResult& result, After after) {
  auto node = busy_.extract(&connection);
  if (node.empty()) return;
  if (after == After::kReuse) {
    KeepIdle(std::move(node.mapped()));
  } else if (after == After::kAwaitRest) {
    connection.Rest(false);
    rest_.insert(std::move(node));
  } else {
    Bury(std::move(node.mapped()));
  }
  ended_(result);
}

void CallPool::RestEnded(Connection& connection, bool reusable) {
  auto node = rest_.extract(&connection);
  if (node.empty()) return;
  reusable ? KeepIdle(std::move(node.mapped())) : Bury(std::move(node.mapped()));
}

void CallPool::KeepIdle(std::unique_ptr<Connection> connection) {
  connection->Rest(true);
  idle_[connection->host()].push_back(std::move(connection));
  ++idle_count_;
}

void CallPool::IdleEnded(Connection& connection) {
  Idle& idle = idle_[connection.host()];
  const auto it =
      std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c.get() == &connection; });
  if (it == idle.end()) return;
  Bury(std::move(*it));
  idle.erase(it);
  --idle_count_;
}

std::size_t CallPool::idle(const std::string& host, const std::string& dial) const {
  const auto it = idle_.find(host);
  if (it == idle_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [&](const auto& c) {
    return c->dial() == dial && !Stale(*c) && c->silent();
  }));
}

// Only one on which nothing lies: not one that the other side has closed, where a call would end as a reset
// and might seem to have run, nor one with unread bytes, which would be taken for the next call's answer.
std::unique_ptr<CallPool::Connection> CallPool::TakeIdle(const std::string& host, const std::string& dial) {
  const auto it = idle_.find(host);
  while (it != idle_.end() && !it->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(it->second.back());
    it->second.pop_back();
    --idle_count_;
    if (connection->dial() == dial && !Stale(*connection) && connection->silent()) return connection;
  }
  return nullptr;
}

bool CallPool::Stale(const Connection& connection) const {
  const Micros limit = limits_.idle_close - std::min<Micros>(kIdleMargin, limits_.idle_close / 4);
  return limits_.idle_close > Micros(0) && loop_.Now() - connection.idle_since() >= limit;
}

void CallPool::DropOldestIdle() {
  Idle* oldest = nullptr;
  for (auto& [dial, idle] : idle_) {
    if (!idle.empty() && (oldest == nullptr || idle.front()->idle_since() < oldest->front()->idle_since())) {
      oldest = &idle;
    }
  }
  if (oldest == nullptr) return;
  oldest->erase(oldest->begin());
  --idle_count_;
}

void CallPool::CloseIdle(const std::string& host) {
  const auto it = idle_.find(host);
  if (it == idle_.end()) return;
  idle_count_ -= it->second.size();
  idle_.erase(it);
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

void CallPool::CloseStale() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    idle_count_ -= std::erase_if(it->second, [this](const auto& connection) { return Stale(*connection); });
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

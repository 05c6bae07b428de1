#include "net/resp_server.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "net/resp_connection.h"

namespace indigosaddle::net {
namespace {

constexpr int kBacklog = 511;

constexpr int kMaxAcceptsPerPass = 64;  // clients accepted before data of others is read
constexpr Micros kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr Micros kSweepInterval = std::chrono::milliseconds(100);

}  // namespace

RespServer::RespServer(Loop& loop, Handler& handler, Limits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      memory_(limits.held_bytes),
      listener_(loop, [this] { AcceptPending(); }),
      deletion_timer_(loop, [this] { closed_.clear(); }),
      accept_timer_(loop, [this] { AcceptPending(); }),
      sweep_timer_(loop, [this] { CloseOverdue(); }),
      resume_timer_(loop, [this] { ResumeConnections(); }) {
  sweep_timer_.Start(kSweepInterval);
}

RespServer::~RespServer() = default;

int RespServer::Listen(const std::string& address) { return listener_.Listen(address, kBacklog); }

void RespServer::PauseAccepting() {
  accept_paused_ = true;
  listener_.Pause();
}

// If this process was the second to listen, it is the first one now.
void RespServer::ResumeAccepting() {
  accept_paused_ = false;
  if (!listener_.open()) return;
  listener_.DirectConnectionsTo(ListenSocket::Receiver::kFirstListener);
  AcceptPending();
}

bool RespServer::HandOverListening() {
  if (listener_.open()) listener_.DirectConnectionsTo(ListenSocket::Receiver::kSecondListener);
  return StopListening();
}

bool RespServer::StopListening() {
  if (!listener_.open()) return true;
  listener_.RefuseNew();
  accept_postponed_ = false;
  while (AcceptOne()) {
  }
  if (accept_postponed_)
    return false;  // some could not be accepted for now, and closing the socket would reset them
  listener_.Close();
  return true;
}

// If all slots are in use, a client is evicted only for the first one that is pending. Whether there are
// others is not known here; if so, the loop reports them.
void RespServer::AcceptPending() {
  if (accept_paused_) return;
  accept_postponed_ = false;
  listener_.Resume();
  for (int accepted = 0; accepted < kMaxAcceptsPerPass; ++accepted) {
    if (accepted > 0 && connections_.size() >= limits_.connections) return;
    if (!AcceptOne()) return;
  }
}

// Returns false if no client is pending, or if there is no free slot and none can be freed; in that case
// pending clients are accepted later.
bool RespServer::AcceptOne() {
  if (!listener_.open() || !handler_.May(Action::kAcceptClient)) return false;
  if (connections_.size() >= limits_.connections && !EvictOne()) return AcceptLater(), false;
  int client = listener_.Accept();
  // The system can run out of descriptors before the limits are reached. Evicting a client frees one.
  if ((client == UV_EMFILE || client == UV_ENFILE) && EvictOne()) client = listener_.Accept();
  if (client == UV_EAGAIN) return false;
  if (client < 0) return AcceptLater(), false;
  auto connection = std::make_unique<Connection>(*this, ++last_connection_);
  const int error = connection->Begin(client);
  const std::uint64_t id = connection->id();
  connections_.emplace(id, std::move(connection));
  handler_.Did(Action::kAcceptClient);
  if (error != 0) CloseConnection(id, ClientCloseReason::kConnectionBroken);
  return true;
}

void RespServer::AcceptLater() {
  accept_postponed_ = true;
  listener_.Pause();
  accept_timer_.Start(kAcceptRetryDelay);
}

// Closes the client with the lowest eviction rank, of several the one inactive for longest. Closes it at
// once, as its descriptor is needed in this pass of the loop. Returns false if no client may be evicted.
bool RespServer::EvictOne() {
  if (!handler_.May(Action::kCloseClient)) return false;
  const Micros now = loop_.Now();
  std::set<std::uint64_t> with_unread_bytes;  // not to be evicted
  while (true) {
    auto best = connections_.end();
    std::pair<int, Micros> best_rank;
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
      const std::optional<int> eviction_rank = it->second->EvictionRank(now);
      if (!eviction_rank || with_unread_bytes.contains(it->first)) continue;
      const std::pair rank(*eviction_rank, it->second->last_activity_at());
      if (best == connections_.end() || rank < best_rank) best = it, best_rank = rank;
    }
    if (best == connections_.end()) return false;
    const std::uint64_t id = best->first;
    if (best->second->has_unread()) {  // a close would reset it, and its last reply might be lost
      with_unread_bytes.insert(id);
      continue;
    }
    handler_.Did(Action::kCloseClient);
    best->second->Detach();
    const std::uint64_t commands = best->second->commands();
    const Micros lasted = now - best->second->accepted_at();
    connections_.erase(best);
    handler_.OnClientClosed(id, ClientCloseReason::kEvicted, commands, lasted);
    return true;
  }
}

void RespServer::CloseOverdue() {
  sweep_timer_.Start(kSweepInterval);
  if (!handler_.May(Action::kCloseClient)) return;
  const Micros now = loop_.Now();
  std::vector<std::uint64_t> all;
  all.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) all.push_back(id);
  // Lingering connections are closed soon, so they do not count as using a slot.
  auto staying =
      static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                             [](const auto& entry) { return !entry.second->lingering(); }));
  for (std::uint64_t id : all) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) continue;
    const bool was_staying = !it->second->lingering();
    it->second->CloseIfOverdue(now, 4 * staying > limits_.connections);
    const auto after = connections_.find(id);
    if (was_staying && (after == connections_.end() || after->second->lingering())) --staying;
  }
}

void RespServer::LimitMemory() {
  while (memory_.TooMuchInput()) {
    const auto largest = std::max_element(
        connections_.begin(), connections_.end(),
        [](const auto& a, const auto& b) { return a.second->held().input < b.second->held().input; });
    if (largest == connections_.end() || largest->second->held().input == 0) break;
    largest->second->CloseForMemory();
  }
  if (!memory_.TooMuchExecuting()) return;
  for (const auto& [id, connection] : connections_) connection->PauseOrResume();
  ResumeLater();
}

// Commands that were executed before are answered by now, at the end of the turn. Goes on behind the
// connection at which the pass before had to end, so that each has its turn.
void RespServer::ResumeConnections() {
  ++pass_;
  std::vector<std::uint64_t> all;
  all.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) all.push_back(id);
  std::rotate(all.begin(), std::upper_bound(all.begin(), all.end(), last_resumed_), all.end());
  for (const std::uint64_t id : all) {
    if (memory_.TooMuchExecuting()) return ResumeLater();
    last_resumed_ = id;
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->PauseOrResume();
  }
}

void RespServer::Reply(std::uint64_t connection, std::uint64_t command, std::string line) {
  if (const auto it = connections_.find(connection); it != connections_.end()) {
    it->second->Reply(command, std::move(line));
  }
}

PeerState RespServer::StateOf(std::uint64_t connection) const {
  const auto it = connections_.find(connection);
  return it == connections_.end() ? PeerState::kGone : it->second->peer_state();
}

bool RespServer::DisconnectIdle(bool all) {
  disconnecting_ = true;
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection->Idle() && (connection->has_sent_command() || (all && !connection->JustAccepted())))
      idle.push_back(id);
  }
  for (std::uint64_t id : idle) connections_.at(id)->Disconnect();
  return connections_.empty();
}

bool RespServer::RejectClients(RejectMode mode) {
  disconnecting_ = true;
  std::vector<std::uint64_t> open;
  for (const auto& [id, connection] : connections_)
    if (!connection->lingering()) open.push_back(id);
  for (std::uint64_t id : open) {
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->Reject(mode);
  }
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->lingering(); });
}

void RespServer::Close() {
  listener_.Close();
  accept_timer_.Stop();
  sweep_timer_.Stop();
  resume_timer_.Stop();
  for (const auto& [id, connection] : connections_) connection->DiscardInput();
  connections_.clear();
}

void RespServer::CloseConnection(std::uint64_t connection, ClientCloseReason reason) {
  auto node = connections_.extract(connection);
  if (node.empty()) return;
  node.mapped()->Detach();
  closed_.push_back(std::move(node.mapped()));
  deletion_timer_.Start(Micros(0));
  const Connection& closed = *closed_.back();
  handler_.OnClientClosed(connection, reason, closed.commands(), loop_.Now() - closed.accepted_at());
  if (accept_postponed_) accept_timer_.Start(Micros(0));
}

}  // namespace indigosaddle::net

#include "net/resp_server.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "net/resp_connection.h"

namespace indigosaddle::net {
namespace {

constexpr int kBacklog = 511;

constexpr int kAtOnce = 64;  // clients admitted before others are read
constexpr Micros kAdmitAgain = std::chrono::milliseconds(20);
constexpr Micros kSweepEvery = std::chrono::milliseconds(100);

}  // namespace

std::string_view NameOf(ClientEnd end) {
  switch (end) {
    case ClientEnd::kLeft: return "left";
    case ClientEnd::kBroke: return "broke";
    case ClientEnd::kSilent: return "silent";
    case ClientEnd::kQuiet: return "quiet";
    case ClientEnd::kUntaken: return "untaken";
    case ClientEnd::kTurnedAway: return "turned-away";
    case ClientEnd::kGaveWay: return "gave-way";
    case ClientEnd::kStopping: return "stopping";
    case ClientEnd::kRefused: return "refused";
  }
  return "?";
}

RespServer::RespServer(Loop& loop, Handler& handler, Limits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      listener_(loop, [this] { Admit(); }),
      bury_(loop, [this] { buried_.clear(); }),
      admit_(loop, [this] { Admit(); }),
      sweep_(loop, [this] { Sweep(); }) {
  sweep_.Start(kSweepEvery);
}

RespServer::~RespServer() = default;

int RespServer::Listen(const std::string& address) { return listener_.Listen(address, kBacklog); }

bool RespServer::StopListening() {
  if (!listener_.open()) return true;
  listener_.RefuseNew();
  waiting_ = false;
  while (AdmitOne()) {
  }
  if (waiting_)
    return false;  // accept fails for a moment, or there is no room: closed now, they would be reset
  listener_.Close();
  return true;
}

// The first who waits is sure to be there; for those behind, room is made when the loop says that they wait.
void RespServer::Admit() {
  waiting_ = false;
  listener_.Resume();
  for (int admitted = 0; admitted < kAtOnce; ++admitted) {
    if (admitted > 0 && connections_.size() >= limits_.connections) return;
    if (!AdmitOne()) return;
  }
}

// False where nobody waits, or there is no room and none can be made; then who waits is taken later.
bool RespServer::AdmitOne() {
  if (!listener_.open() || !handler_.May(Action::kAcceptClient)) return false;
  if (connections_.size() >= limits_.connections && !MakeRoom()) return AdmitLater(), false;
  int client = listener_.Accept();
  // The system has no descriptor left, whatever the limits say: one of a client that gives way is free then.
  if ((client == UV_EMFILE || client == UV_ENFILE) && MakeRoom()) client = listener_.Accept();
  if (client == UV_EAGAIN) return false;
  if (client < 0) return AdmitLater(), false;
  auto connection = std::make_unique<Connection>(*this, ++last_connection_);
  const int error = connection->Begin(client);
  const std::uint64_t id = connection->id();
  connections_.emplace(id, std::move(connection));
  handler_.Did(Action::kAcceptClient);
  if (error != 0) Drop(id, ClientEnd::kBroke);
  return true;
}

void RespServer::AdmitLater() {
  waiting_ = true;
  listener_.Pause();
  admit_.Start(kAdmitAgain);
}

// Closes who gives way most readily, the longest quiet of these, at once: its descriptor is needed before
// this pass of the loop is over. False where nobody does.
bool RespServer::MakeRoom() {
  if (!handler_.May(Action::kCloseClient)) return false;
  const Micros now = loop_.Now();
  std::set<std::uint64_t> busy;  // looked as if they gave way, but have sent something
  while (true) {
    auto best = connections_.end();
    std::pair<int, Micros> best_rank;
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
      const std::optional<int> way = it->second->GivesWay(now);
      if (!way || busy.contains(it->first)) continue;
      const std::pair rank(*way, it->second->quiet_since());
      if (best == connections_.end() || rank < best_rank) best = it, best_rank = rank;
    }
    if (best == connections_.end()) return false;
    const std::uint64_t id = best->first;
    if (best->second->unread()) {  // closed over it, its last reply might be lost; if it lingers, as well
      busy.insert(id);
      continue;
    }
    handler_.Did(Action::kCloseClient);
    best->second->Bury();
    const std::uint64_t commands = best->second->commands();
    const Micros lasted = now - best->second->since();
    connections_.erase(best);
    handler_.OnClientGone(id, ClientEnd::kGaveWay, commands, lasted);
    return true;
  }
}

void RespServer::Sweep() {
  sweep_.Start(kSweepEvery);
  if (!handler_.May(Action::kCloseClient)) return;
  const Micros now = loop_.Now();
  std::vector<std::uint64_t> all;
  all.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) all.push_back(id);
  // Those that linger are on their way out: they ask for no more room.
  auto staying =
      static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                             [](const auto& entry) { return !entry.second->lingering(); }));
  for (std::uint64_t id : all) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) continue;
    const bool stayed = !it->second->lingering();
    it->second->Sweep(now, 4 * staying > limits_.connections);
    const auto after = connections_.find(id);
    if (stayed && (after == connections_.end() || after->second->lingering())) --staying;
  }
}

void RespServer::Reply(std::uint64_t connection, std::uint64_t command, std::string line) {
  if (const auto it = connections_.find(connection); it != connections_.end()) {
    it->second->Reply(command, std::move(line));
  }
}

bool RespServer::Gone(std::uint64_t connection) const {
  const auto it = connections_.find(connection);
  return it == connections_.end() || it->second->Gone();
}

bool RespServer::CloseQuiet(bool all) {
  departing_ = true;
  std::vector<std::uint64_t> quiet;
  for (const auto& [id, connection] : connections_) {
    if (connection->Quiet() && (connection->asked() || (all && !connection->Newcomer()))) quiet.push_back(id);
  }
  for (std::uint64_t id : quiet) connections_.at(id)->Depart();
  return connections_.empty();
}

bool RespServer::Refuse(RefusalPace pace) {
  departing_ = true;
  std::vector<std::uint64_t> open;
  for (const auto& [id, connection] : connections_)
    if (!connection->lingering()) open.push_back(id);
  for (std::uint64_t id : open) {
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->Refuse(pace);
  }
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->lingering(); });
}

void RespServer::Close() {
  listener_.Close();
  admit_.Stop(), sweep_.Stop();
  for (const auto& [id, connection] : connections_) connection->DiscardInput();
  connections_.clear();
}

void RespServer::Drop(std::uint64_t connection, ClientEnd end) {
  auto node = connections_.extract(connection);
  if (node.empty()) return;
  node.mapped()->Bury();
  buried_.push_back(std::move(node.mapped()));
  bury_.Start(Micros(0));
  const Connection& gone = *buried_.back();
  handler_.OnClientGone(connection, end, gone.commands(), loop_.Now() - gone.since());
  if (waiting_) admit_.Start(Micros(0));
}

}  // namespace indigosaddle::net

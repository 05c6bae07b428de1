// Settings watched before they are put in force: a second decider is fed the events of the first, does
// nothing, and counts, by kind, the messages with which it would have done otherwise. It sends nothing,
// answers nothing and asks for no turn. A message counts once, by its first difference, and is then no longer
// compared: the outcome of a call that was not made can't be known. Memory: at most what the first decider
// holds.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "brain.h"

namespace indigosaddle::node {

// What is watched; where nothing is given, what is in force holds.
struct Watched {
  bool on = false;
  std::optional<Weights> weights;
  std::optional<bool> retry_advice;
  std::optional<double> price_handshake, overload_factor;
  std::optional<int> senders, max_attempts;
  std::optional<Micros> fall;

  Settings Over(Settings s) const;  // s: in force
};

// What the watched settings would have done in the turn in which the two came apart.
enum class Otherwise : std::uint8_t { kSent, kOtherEndpoint, kRefused, kFailed, kWaited };
const char* NameOf(Otherwise kind);
constexpr std::size_t kOtherwise = 5;

class Watcher : private Host {
 public:
  Watcher(const Watched& watched, const Settings& in_force);

  // The events that the first decider is told, in the same order.
  void OnTurnStart(Micros now);
  void OnList(const std::vector<Endpoint>& entries, bool whole) { brain_->OnList(entries, whole); }
  void OnListFailed(Micros outdated_from) {
    brain_->OnListFailed();
    brain_->OnListOutdated(outdated_from);
  }
  void OnMessage(const Message& message);
  void OnOutcome(const Outcome& outcome);
  void OnWithdrawn(MessageId id);
  void OnToldWait(const EndpointId& endpoint, Micros wait) { brain_->OnRetryAfter(endpoint, wait); }
  void OnStop(Micros at) { brain_->OnStop(at); }
  void OnZoneUnsure(int zone) { brain_->OnZoneLost(zone); }
  void OnSettings(const Settings& in_force) { brain_->OnSettings(watched_.Over(in_force)); }

  // What the first one decided in this turn; then both are compared.
  void Sent(MessageId id, const EndpointId& endpoint) { real_[id] = {Kind::kSend, endpoint}; }
  void Refused(MessageId id) { real_[id] = {Kind::kRefuse, {}}; }
  void Failed(MessageId id) { real_[id] = {Kind::kFail, {}}; }
  void OnTurnEnd();

  std::uint64_t messages() const { return messages_; }
  std::uint64_t Count(Otherwise kind) const { return counts_[static_cast<std::size_t>(kind)]; }
  std::size_t compared() const { return compared_.size(); }
  std::string Text() const;  // "3 sent, 1 waited"; empty: none
  nlohmann::json Json() const;

 private:
  enum class Kind : std::uint8_t { kSend, kRefuse, kFail };
  struct Decision {
    Kind kind = Kind::kSend;
    EndpointId endpoint;
    bool operator==(const Decision&) const = default;
  };

  void Send(MessageId id, const EndpointId& endpoint, Micros) override {
    watched_did_[id] = {Kind::kSend, endpoint};
  }
  bool Refuse(MessageId id, Micros, GiveUpCause) override {
    return watched_did_[id] = {Kind::kRefuse, {}}, true;
  }
  bool Fail(MessageId id, GiveUpCause) override { return watched_did_[id] = {Kind::kFail, {}}, true; }
  void SetTimer(Micros) override {}
  void Watch() override {}
  void CloseIdle(const EndpointId&) override {}

  void Differs(MessageId id, Otherwise kind);

  Watched watched_;
  std::unique_ptr<Brain> brain_;
  std::map<MessageId, Decision> real_, watched_did_;  // of the present turn
  std::unordered_set<MessageId> compared_;            // both hold them, and have done the same so far
  std::vector<MessageId> apart_;                      // sent by the watched settings alone: told as not sent
  std::array<std::uint64_t, kOtherwise> counts_{};
  std::uint64_t messages_ = 0;
};

}  // namespace indigosaddle::node

// Evaluates settings before they are put in force. A second decision engine, the shadow, gets the events of
// the engine in force. Its decisions are not carried out, but compared with those of the engine in force; the
// messages for which the two differ are counted by kind. The shadow sends nothing, answers nothing and asks
// for no turn. Each message is counted once, at the first difference, and is no longer compared from then on,
// because the outcome of a call that was not made can't be known. Memory: at most that of the engine in
// force.
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

// The settings to evaluate. Those that are not given are as in force.
struct ShadowSettings {
  bool on = false;
  std::optional<Weights> weights;
  std::optional<bool> retry_advice;
  std::optional<double> price_handshake, overload_factor;
  std::optional<int> senders, max_attempts;
  std::optional<Micros> fall;

  // The settings in force, with the given ones in their place.
  Settings AppliedTo(Settings settings) const;
};

// What the shadow decided for a message in the turn in which the two engines first differed. kWaited: it
// decided nothing, while the engine in force did.
enum class ShadowDifference : std::uint8_t { kSent, kOtherEndpoint, kRefused, kFailed, kWaited };
// The name in the status and the log.
const char* NameOf(ShadowDifference kind);
constexpr std::size_t kShadowDifferences = 5;

class ShadowEvaluation : private Host {
 public:
  ShadowEvaluation(const ShadowSettings& shadow_settings, const Settings& in_force);

  // The events of the engine in force, in the same order.
  void OnTurnStart(Micros now);
  void OnList(const std::vector<Endpoint>& entries, bool whole) { brain_->OnList(entries, whole); }
  void OnListFailed() { brain_->OnListFailed(); }
  void OnListOutdated(Micros from) { brain_->OnListOutdated(from); }
  void OnMessage(const Message& message);
  void OnOutcome(const Outcome& outcome);
  void OnWithdrawn(MessageId id);
  void OnRetryAfter(const EndpointId& endpoint, Micros wait) { brain_->OnRetryAfter(endpoint, wait); }
  void OnStop(Micros at) { brain_->OnStop(at); }
  void OnZoneLost(int zone) { brain_->OnZoneLost(zone); }
  void OnSettings(const Settings& in_force) { brain_->OnSettings(shadow_settings_.AppliedTo(in_force)); }

  // Record the decisions of the engine in force in this turn.
  void RecordSent(MessageId id, const EndpointId& endpoint) { actual_[id] = {Kind::kSend, endpoint}; }
  void RecordRefused(MessageId id) { actual_[id] = {Kind::kRefuse, {}}; }
  void RecordFailed(MessageId id) { actual_[id] = {Kind::kFail, {}}; }
  // Lets the shadow decide, and compares its decisions with the recorded ones.
  void OnTurnEnd();

  // Number of messages seen.
  std::uint64_t messages() const { return messages_; }
  // Number of messages counted with this difference.
  std::uint64_t Count(ShadowDifference kind) const { return counts_[static_cast<std::size_t>(kind)]; }
  // Number of messages that are held and still compared.
  std::size_t compared() const { return compared_.size(); }
  // The counts for the log, such as "3 sent, 1 waited"; empty if there are none.
  std::string Summary() const;
  // The "watch" part of the node's status.
  nlohmann::json Json() const;

 private:
  enum class Kind : std::uint8_t { kSend, kRefuse, kFail };
  struct Decision {
    Kind kind = Kind::kSend;
    EndpointId endpoint;
    bool operator==(const Decision&) const = default;
  };

  // Host: the decisions of the shadow.
  void Send(MessageId id, const EndpointId& endpoint, Micros) override {
    shadow_[id] = {Kind::kSend, endpoint};
  }
  bool Refuse(MessageId id, Micros, GiveUpCause) override { return shadow_[id] = {Kind::kRefuse, {}}, true; }
  bool Fail(MessageId id, GiveUpCause) override { return shadow_[id] = {Kind::kFail, {}}, true; }
  void SetTimer(Micros) override {}
  void Watch() override {}
  void CloseIdle(const EndpointId&) override {}

  void CountDifference(MessageId id, ShadowDifference kind);

  ShadowSettings shadow_settings_;
  std::unique_ptr<Brain> brain_;                   // the shadow
  std::map<MessageId, Decision> actual_, shadow_;  // decisions of the present turn
  // Messages that both engines hold and for which they have decided the same so far.
  std::unordered_set<MessageId> compared_;
  // Messages that only the shadow sent. The next turn reports to it that they were not sent.
  std::vector<MessageId> unsent_;
  std::array<std::uint64_t, kShadowDifferences> counts_{};
  std::uint64_t messages_ = 0;
};

}  // namespace indigosaddle::node

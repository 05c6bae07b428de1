#include "brain/connection_trust.h"

#include <algorithm>

namespace indigosaddle {
namespace {

DenialReason CheckSendCall(const ConnectionFacts& facts) {
  if (facts.address_changed) return DenialReason::kAddressChanged;
  switch (facts.state) {
    case ConnectionState::kFresh:
      return facts.unread_input ? DenialReason::kUnreadInput : DenialReason::kNone;
    case ConnectionState::kSettling: return DenialReason::kSettling;
    case ConnectionState::kReusable: break;
    default: return DenialReason::kWrongState;
  }
  if (facts.suspect_endpoint) return DenialReason::kSuspectEndpoint;
  if (facts.unread_input) return DenialReason::kUnreadInput;
  if (facts.idle_too_long) return DenialReason::kIdleTooLong;
  return facts.first_call_only ? DenialReason::kFirstCallOnly : DenialReason::kNone;
}

// A call that was not sent completely has not run, whatever the answer says, so only a refusal is accepted
// before that.
DenialReason CheckAcceptAnswer(const ConnectionFacts& facts) {
  const bool first = facts.state == ConnectionState::kInFirstCall;
  if (!first && facts.state != ConnectionState::kInLaterCall) return DenialReason::kWrongState;
  if (facts.answered_early && !(first && facts.refusal && !facts.request_sent))
    return DenialReason::kEarlyAnswer;
  if (facts.write_delayed) return DenialReason::kWriteDelayed;
  if (first) return DenialReason::kNone;
  if (facts.suspect_endpoint) return DenialReason::kSuspectEndpoint;
  if (facts.malformed) return DenialReason::kMalformedAnswer;
  return facts.trailing_bytes ? DenialReason::kTrailingBytes : DenialReason::kNone;
}

DenialReason CheckKeepOpen(const ConnectionFacts& facts) {
  if (facts.trailing_bytes) return DenialReason::kTrailingBytes;
  if (facts.answered_early) return DenialReason::kEarlyAnswer;
  if (!facts.keep_alive) return DenialReason::kEndedByPeer;
  if (facts.suspect_endpoint) return DenialReason::kSuspectEndpoint;
  const bool later = facts.state == ConnectionState::kInLaterCall;
  return later && !facts.delivered ? DenialReason::kNotDelivered : DenialReason::kNone;
}

}  // namespace

std::string_view NameOf(ConnectionState state) {
  switch (state) {
    case ConnectionState::kConnecting: return "connecting";
    case ConnectionState::kFresh: return "fresh";
    case ConnectionState::kInFirstCall: return "in its first call";
    case ConnectionState::kInLaterCall: return "in a later call";
    case ConnectionState::kReadingRest: return "reading the rest";
    case ConnectionState::kSettling: return "settling";
    case ConnectionState::kReusable: return "reusable";
    case ConnectionState::kClosed: return "closed";
  }
  return "unknown";
}

std::string_view NameOf(DenialReason why) {
  switch (why) {
    case DenialReason::kNone: return "none";
    case DenialReason::kWrongState: return "not in a state for it";
    case DenialReason::kSettling: return "settling";
    case DenialReason::kSuspectEndpoint: return "suspect endpoint";
    case DenialReason::kUnreadInput: return "bytes or its end lie there";
    case DenialReason::kIdleTooLong: return "idle for too long";
    case DenialReason::kFirstCallOnly: return "first call only";
    case DenialReason::kEarlyAnswer: return "early answer";
    case DenialReason::kTrailingBytes: return "more behind the answer";
    case DenialReason::kMalformedAnswer: return "spoilt on a used connection";
    case DenialReason::kWriteDelayed: return "held up at the writing";
    case DenialReason::kNotDelivered: return "no delivery on a used connection";
    case DenialReason::kAddressChanged: return "another address";
    case DenialReason::kEndedByPeer: return "ended by the other side";
  }
  return "unknown";
}

DenialReason CheckConnectionUse(const ConnectionFacts& facts, ConnectionUse use) {
  switch (use) {
    case ConnectionUse::kSendCall: return CheckSendCall(facts);
    case ConnectionUse::kAcceptAnswer: return CheckAcceptAnswer(facts);
    case ConnectionUse::kKeepOpen: return CheckKeepOpen(facts);
  }
  return DenialReason::kWrongState;
}

bool RequiresFreshConnection(const RepeatRules& rules) { return rules.effect == Effect::kUnsafe; }

bool IndicatesUnsolicitedData(DenialReason why) {
  return why == DenialReason::kUnreadInput || why == DenialReason::kEarlyAnswer ||
         why == DenialReason::kTrailingBytes || why == DenialReason::kWriteDelayed;
}

void ConnectionLifecycle::MarkCallStarted(Micros now) {
  Enter(calls_ == 0 ? ConnectionState::kInFirstCall : ConnectionState::kInLaterCall, now);
  ++calls_;
}

ConnectionState ConnectionLifecycle::At(Micros now) const {
  const bool silent = state_ == ConnectionState::kSettling && now - since_ >= kQuietPeriod;
  return silent ? ConnectionState::kReusable : state_;
}

bool SuspectEndpoints::ReportUnsolicitedData(const EndpointId& endpoint, Micros now) {
  std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; });
  until_[endpoint] = now + kSuspectDuration;
  const Micros latest = now + kSuspectDuration - kCommonCauseWindow;
  const auto recent = std::count_if(until_.begin(), until_.end(),
                                    [latest](const auto& entry) { return entry.second >= latest; });
  if (static_cast<std::size_t>(recent) < kSuspectsImplyingAll) return false;
  const bool newly_suspect = !AllSuspect(now);
  all_until_ = now + kSuspectDuration;
  return newly_suspect;
}

bool SuspectEndpoints::IsSuspect(const EndpointId& endpoint, Micros now) const {
  if (AllSuspect(now)) return true;
  const auto it = until_.find(endpoint);
  return it != until_.end() && now < it->second;
}

std::size_t SuspectEndpoints::Count(Micros now) const {
  return static_cast<std::size_t>(
      std::count_if(until_.begin(), until_.end(), [now](const auto& entry) { return now < entry.second; }));
}

}  // namespace indigosaddle

#include "brain/connection_trust.h"

#include <algorithm>

namespace indigosaddle {
namespace {

Distrust JudgeCarrying(const ConnectionFacts& facts) {
  if (facts.moved) return Distrust::kMoved;
  switch (facts.state) {
    case ConnectionState::kFresh: return facts.unread ? Distrust::kUnread : Distrust::kNone;
    case ConnectionState::kSettling: return Distrust::kSettling;
    case ConnectionState::kReusable: break;
    default: return Distrust::kState;
  }
  if (facts.suspect_endpoint) return Distrust::kSuspect;
  if (facts.unread) return Distrust::kUnread;
  if (facts.worn) return Distrust::kWorn;
  return facts.first_call_only ? Distrust::kFirstOnly : Distrust::kNone;
}

// A call that has not left whole has not run, whatever is said; only a refusal may come before that.
Distrust JudgeAnswer(const ConnectionFacts& facts) {
  const bool first = facts.state == ConnectionState::kInFirstCall;
  if (!first && facts.state != ConnectionState::kInLaterCall) return Distrust::kState;
  if (facts.early && !(first && facts.refusal && !facts.sent)) return Distrust::kEarly;
  if (facts.held_up) return Distrust::kHeldUp;
  if (first) return Distrust::kNone;
  if (facts.suspect_endpoint) return Distrust::kSuspect;
  if (facts.spoilt) return Distrust::kSpoilt;
  return facts.more_behind ? Distrust::kMoreBehind : Distrust::kNone;
}

Distrust JudgeKeeping(const ConnectionFacts& facts) {
  if (facts.more_behind) return Distrust::kMoreBehind;
  if (facts.early) return Distrust::kEarly;
  if (!facts.keep_alive) return Distrust::kOtherSide;
  if (facts.suspect_endpoint) return Distrust::kSuspect;
  const bool later = facts.state == ConnectionState::kInLaterCall;
  return later && !facts.delivered ? Distrust::kNotDelivered : Distrust::kNone;
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

std::string_view NameOf(Distrust why) {
  switch (why) {
    case Distrust::kNone: return "none";
    case Distrust::kState: return "not in a state for it";
    case Distrust::kSettling: return "settling";
    case Distrust::kSuspect: return "suspect endpoint";
    case Distrust::kUnread: return "bytes or its end lie there";
    case Distrust::kWorn: return "idle for too long";
    case Distrust::kFirstOnly: return "first call only";
    case Distrust::kEarly: return "early answer";
    case Distrust::kMoreBehind: return "more behind the answer";
    case Distrust::kSpoilt: return "spoilt on a used connection";
    case Distrust::kHeldUp: return "held up at the writing";
    case Distrust::kNotDelivered: return "no delivery on a used connection";
    case Distrust::kMoved: return "another address";
    case Distrust::kOtherSide: return "ended by the other side";
  }
  return "unknown";
}

Distrust Judge(const ConnectionFacts& facts, ConnectionUse use) {
  switch (use) {
    case ConnectionUse::kCarryCall: return JudgeCarrying(facts);
    case ConnectionUse::kBelieveAnswer: return JudgeAnswer(facts);
    case ConnectionUse::kKeep: return JudgeKeeping(facts);
  }
  return Distrust::kState;
}

bool WantsFirstCall(const RepeatRules& rules) { return rules.effect == Effect::kUnsafe; }

bool IsSign(Distrust why) {
  return why == Distrust::kUnread || why == Distrust::kEarly || why == Distrust::kMoreBehind ||
         why == Distrust::kHeldUp;
}

void ConnectionLife::Call(Micros now) {
  Enter(calls_ == 0 ? ConnectionState::kInFirstCall : ConnectionState::kInLaterCall, now);
  ++calls_;
}

ConnectionState ConnectionLife::At(Micros now) const {
  const bool silent = state_ == ConnectionState::kSettling && now - since_ >= kSilence;
  return silent ? ConnectionState::kReusable : state_;
}

bool SuspectEndpoints::Sign(const EndpointId& endpoint, Micros now) {
  std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; });
  until_[endpoint] = now + kSuspectFor;
  const Micros latest = now + kSuspectFor - kOneCauseWithin;
  const auto of_late = std::count_if(until_.begin(), until_.end(),
                                     [latest](const auto& entry) { return entry.second >= latest; });
  if (static_cast<std::size_t>(of_late) < kSuspectsForAll) return false;
  const bool news = !All(now);
  all_until_ = now + kSuspectFor;
  return news;
}

bool SuspectEndpoints::Suspect(const EndpointId& endpoint, Micros now) const {
  if (All(now)) return true;
  const auto it = until_.find(endpoint);
  return it != until_.end() && now < it->second;
}

std::size_t SuspectEndpoints::Count(Micros now) const {
  return static_cast<std::size_t>(
      std::count_if(until_.begin(), until_.end(), [now](const auto& entry) { return now < entry.second; }));
}

}  // namespace indigosaddle

#include "node/describe.h"

#include <fmt/format.h>

namespace indigosaddle::node {
namespace {

const char* NameOf(Group group) {
  switch (group) {
    case Group::kAll: return "all";
    case Group::kZone: return "zone";
    case Group::kCell: return "cell";
  }
  return "unknown";
}

std::string DescribeEffect(const RepeatRules& rules) {
  switch (rules.effect) {
    case Effect::kSafe: return "safe";
    case Effect::kUnsafe: return "unsafe";
    case Effect::kKeyed: break;
  }
  const auto millis = std::chrono::duration<double, std::milli>(rules.key_ttl).count();
  return fmt::format("keyed by {} for {} ms", NameOf(rules.group), millis);
}

}  // namespace

std::string Describe(const RepeatRules& rules) {
  return DescribeEffect(rules) + (rules.sequential ? ", in order" : "");
}

std::string_view NameOf(GiveUpCause cause) {
  switch (cause) {
    case GiveUpCause::kOutOfTime: return "out of time";
    case GiveUpCause::kNoAttemptsLeft: return "no attempts left";
    case GiveUpCause::kMayHaveRun: return "may have run";
    case GiveUpCause::kKeyExpired: return "its key may be forgotten";
    case GiveUpCause::kRetryAfterTooLong: return "told to wait past its time";
    case GiveUpCause::kNotListed: return "destination not listed";
    case GiveUpCause::kLoadShed: return "no room";
  }
  return "unknown";
}

}  // namespace indigosaddle::node

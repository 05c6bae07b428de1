#include "fleet/sites.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iterator>

namespace indigosaddle::fleet {
namespace {

constexpr Micros kLossWindow = std::chrono::hours(1);
constexpr std::array<SiteState, 6> kStates = {SiteState::kUp,     SiteState::kDegraded,
                                              SiteState::kNoList, SiteState::kNoClients,
                                              SiteState::kLost,   SiteState::kReturning};

constexpr std::string_view kFlags =
    "tlc";                    // of an observation, in this order: in_contact, has_discovery, has_clients
constexpr char kUnset = '-';  // in place of a flag that is not set

// Removes the part of `text` up to and including `end`, and returns it without `end`.
std::string_view TakeUntil(std::string_view& text, char end) {
  const std::size_t at = text.find(end);
  const std::string_view part = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return part;
}

}  // namespace

const char* NameOf(SiteState state) {
  switch (state) {
    case SiteState::kUp: return "up";
    case SiteState::kDegraded: return "thin";
    case SiteState::kNoList: return "no-list";
    case SiteState::kNoClients: return "no-clients";
    case SiteState::kLost: return "lost";
    case SiteState::kReturning: return "returning";
  }
  return "?";
}

std::string MemberObservation::Serialize() const {
  const bool flags[] = {in_contact, has_discovery, has_clients};
  static_assert(std::size(flags) == kFlags.size());
  std::string text;
  for (std::size_t i = 0; i < std::size(flags); ++i) text += flags[i] ? kFlags[i] : kUnset;
  for (const std::string& site : unseen_sites) text += "\n" + site;
  return text;
}

std::optional<MemberObservation> MemberObservation::Parse(std::string_view text) {
  const std::string_view flags = TakeUntil(text, '\n');
  if (flags.size() != kFlags.size()) return std::nullopt;
  for (std::size_t i = 0; i < kFlags.size(); ++i)
    if (flags[i] != kFlags[i] && flags[i] != kUnset) return std::nullopt;
  MemberObservation observation;
  observation.in_contact = flags[0] != kUnset;
  observation.has_discovery = flags[1] != kUnset;
  observation.has_clients = flags[2] != kUnset;
  while (!text.empty()) observation.unseen_sites.emplace_back(TakeUntil(text, '\n'));
  return observation;
}

std::string SiteStatus::Serialize() const {
  return std::string(NameOf(state)) + "\n" + std::to_string(losses);
}

std::optional<SiteStatus> SiteStatus::Parse(std::string_view text) {
  const std::string_view name = TakeUntil(text, '\n');
  SiteStatus status;
  const auto state =
      std::find_if(kStates.begin(), kStates.end(), [&](SiteState s) { return name == NameOf(s); });
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), status.losses);
  if (state == kStates.end() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (status.losses < 0 || status.losses > kMaxLosses) return std::nullopt;
  status.state = *state;
  return status;
}

Micros SiteMonitor::Hold(int losses) const {
  Micros hold = rules_.return_hold;
  for (int i = 1; i < losses && hold < rules_.max_return_hold; ++i) hold *= 2;
  return std::min(hold, rules_.max_return_hold);
}

// The state of a site of which at least one member is seen and which is neither lost nor returning.
SiteState SiteMonitor::StateWhilePresent(const SiteTally& tally) const {
  const auto most_members = [&](int count) {
    return count > 0 && count >= rules_.agreement_share * tally.present;
  };
  if (most_members(tally.without_discovery)) return SiteState::kNoList;
  if (most_members(tally.without_clients)) return SiteState::kNoClients;
  return tally.present < tally.members ? SiteState::kDegraded : SiteState::kUp;
}

SiteStatus SiteMonitor::Decide(const std::string& site, const SiteTally& tally,
                               const std::optional<SiteStatus>& agreed, Micros now) {
  const auto [it, first] = histories_.try_emplace(site);
  History& history = it->second;
  if (agreed && (first || agreed->state != history.state)) {  // another coordinator has decided meanwhile
    history.state = agreed->state;
    history.since = now;
    while (static_cast<int>(history.losses.size()) < agreed->losses) history.losses.push_back(now);
  }
  while (!history.losses.empty() && now - history.losses.front() > kLossWindow) history.losses.pop_front();
  const bool lost = tally.present == 0 && tally.others > 0 &&
                    tally.accusers >= std::ceil(rules_.agreement_share * tally.others);
  const auto enter = [&](SiteState state) {
    if (history.state != state) history.since = now;
    history.state = state;
  };
  if (history.state == SiteState::kLost) {
    if (tally.present > 0 && tally.in_contact > 0 && !lost) enter(SiteState::kReturning);
  } else if (lost) {
    history.losses.push_back(now);
    enter(SiteState::kLost);
  } else if (history.state == SiteState::kReturning) {
    const bool whole = tally.present > 0 && tally.in_contact == tally.present && tally.accusers == 0;
    if (!whole) history.since = now;  // the hold counts from when all members see it again
    if (whole && now - history.since >= Hold(static_cast<int>(history.losses.size())))
      enter(StateWhilePresent(tally));
  } else if (tally.present > 0) {
    enter(StateWhilePresent(tally));  // else nobody is seen but a loss is not agreed: keep the state
  }
  return {history.state, static_cast<int>(history.losses.size())};
}

}  // namespace indigosaddle::fleet

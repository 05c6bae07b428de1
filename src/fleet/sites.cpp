#include "fleet/sites.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iterator>

namespace indigosaddle::fleet {
namespace {

constexpr Micros kRemembered = std::chrono::hours(1);
constexpr std::array<SiteState, 6> kStates = {SiteState::kUp,        SiteState::kThin, SiteState::kNoList,
                                              SiteState::kNoClients, SiteState::kLost, SiteState::kReturning};

constexpr std::string_view kFlags = "tlc";  // of a sight, in this order: touch, list, clients
constexpr char kNotSo = '-';                // in the place of a flag

// The part of `text` up to `end`, which is taken off with it.
std::string_view TakeTo(std::string_view& text, char end) {
  const std::size_t at = text.find(end);
  const std::string_view part = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return part;
}

}  // namespace

const char* NameOf(SiteState state) {
  switch (state) {
    case SiteState::kUp: return "up";
    case SiteState::kThin: return "thin";
    case SiteState::kNoList: return "no-list";
    case SiteState::kNoClients: return "no-clients";
    case SiteState::kLost: return "lost";
    case SiteState::kReturning: return "returning";
  }
  return "?";
}

std::string MemberSight::Text() const {
  const bool so[] = {touch, list, clients};
  static_assert(std::size(so) == kFlags.size());
  std::string text;
  for (std::size_t i = 0; i < std::size(so); ++i) text += so[i] ? kFlags[i] : kNotSo;
  for (const std::string& site : unseen) text += "\n" + site;
  return text;
}

std::optional<MemberSight> MemberSight::Parse(std::string_view text) {
  const std::string_view flags = TakeTo(text, '\n');
  if (flags.size() != kFlags.size()) return std::nullopt;
  for (std::size_t i = 0; i < kFlags.size(); ++i)
    if (flags[i] != kFlags[i] && flags[i] != kNotSo) return std::nullopt;
  MemberSight sight;
  sight.touch = flags[0] != kNotSo, sight.list = flags[1] != kNotSo, sight.clients = flags[2] != kNotSo;
  while (!text.empty()) sight.unseen.emplace_back(TakeTo(text, '\n'));
  return sight;
}

std::string SiteStatus::Text() const { return std::string(NameOf(state)) + "\n" + std::to_string(losses); }

std::optional<SiteStatus> SiteStatus::Parse(std::string_view text) {
  const std::string_view name = TakeTo(text, '\n');
  SiteStatus word;
  const auto state =
      std::find_if(kStates.begin(), kStates.end(), [&](SiteState s) { return name == NameOf(s); });
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), word.losses);
  if (state == kStates.end() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (word.losses < 0 || word.losses > kMostLosses) return std::nullopt;
  word.state = *state;
  return word;
}

Micros Sites::Hold(int losses) const {
  Micros hold = rules_.return_hold;
  for (int i = 1; i < losses && hold < rules_.max_return_hold; ++i) hold *= 2;
  return std::min(hold, rules_.max_return_hold);
}

// Of a site of which somebody is seen.
SiteState Sites::Present(const SiteReport& report) const {
  const auto most = [&](int count) { return count > 0 && count >= rules_.accusing_share * report.present; };
  if (most(report.without_list)) return SiteState::kNoList;
  if (most(report.without_clients)) return SiteState::kNoClients;
  return report.present < report.members ? SiteState::kThin : SiteState::kUp;
}

SiteStatus Sites::Decide(const std::string& site, const SiteReport& report,
                         const std::optional<SiteStatus>& agreed, Micros now) {
  const auto [it, first] = past_.try_emplace(site);
  Past& past = it->second;
  if (agreed && (first || agreed->state != past.state)) {  // another coordinator decided meanwhile
    past.state = agreed->state;
    past.since = now;
    while (static_cast<int>(past.losses.size()) < agreed->losses) past.losses.push_back(now);
  }
  while (!past.losses.empty() && now - past.losses.front() > kRemembered) past.losses.pop_front();
  const bool lost = report.present == 0 && report.others > 0 &&
                    report.accusers >= std::ceil(rules_.accusing_share * report.others);
  const auto enter = [&](SiteState state) {
    if (past.state != state) past.since = now;
    past.state = state;
  };
  if (past.state == SiteState::kLost) {
    if (report.present > 0 && report.touch > 0 && !lost) enter(SiteState::kReturning);
  } else if (lost) {
    past.losses.push_back(now);
    enter(SiteState::kLost);
  } else if (past.state == SiteState::kReturning) {
    const bool whole = report.present > 0 && report.touch == report.present && report.accusers == 0;
    if (!whole) past.since = now;  // the span counts from when all saw it again
    if (whole && now - past.since >= Hold(static_cast<int>(past.losses.size()))) enter(Present(report));
  } else if (report.present > 0) {
    enter(Present(report));  // nobody seen, but not agreed: unsure, so what held holds
  }
  return {past.state, static_cast<int>(past.losses.size())};
}

}  // namespace indigosaddle::fleet

// Decides the state of a whole site. The coordinator combines what the members of the other sites see, so
// that no single view counts. It tells apart a site that is lost, one that has lost some members, only its
// clients or only discovery, and one that is returning. No I/O; time is an argument.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/types.h"

namespace indigosaddle::fleet {

enum class SiteState : std::uint8_t {
  kUp,
  kDegraded,   // some of its members are gone
  kNoList,     // it serves, but discovery is lost there
  kNoClients,  // it serves, but no clients reach it
  kLost,       // agreed: agreement_share of the members elsewhere see none of its members
  kReturning,  // it is seen again, but not yet for long enough
};
const char* NameOf(SiteState state);

// When a site counts as lost, and when as up again.
struct SiteRules {
  // Share of the members of other sites that must see nobody of the site for it to be lost. Also the share of
  // its own members present that must be without discovery, or without clients, for kNoList or kNoClients.
  double agreement_share = 0.66;
  // How long a site must be seen again after its first loss before it is up.
  Micros return_hold{std::chrono::seconds(30)};
  // Upper bound of that time, which doubles with each further loss within the hour.
  Micros max_return_hold{std::chrono::minutes(10)};
};

// What a member says about itself and sees of the others; it writes this as its own fact "view/NAME".
struct MemberObservation {
  // The member is in contact with a majority of the voters.
  bool in_contact = false;
  // Its discovery watch is up.
  bool has_discovery = true;
  // Clients are connected to it.
  bool has_clients = true;
  // Sites of which it sees no member.
  std::vector<std::string> unseen_sites;
  std::string Serialize() const;
  // Returns nothing where the text is not in the format of Serialize.
  static std::optional<MemberObservation> Parse(std::string_view text);
  bool operator==(const MemberObservation&) const = default;
};

// Numbers about one site, counted from the observations of all members.
struct SiteTally {
  // Members that the operator's file places there.
  int members = 0;
  // Of these, members that the coordinator sees.
  int present = 0;
  // Of the present, those in contact with a majority of the voters.
  int in_contact = 0;
  // Of the present, those whose discovery watch is down.
  int without_discovery = 0;
  // Of the present, those without clients.
  int without_clients = 0;
  // Members of other sites that are in contact with a majority of the voters.
  int others = 0;
  // Of these, members that see nobody of the site.
  int accusers = 0;
};

// Most losses of one site within the hour that a fact may name.
constexpr int kMaxLosses = 3600;

// The agreed state of a site, which the coordinator writes as the fact "site/NAME".
struct SiteStatus {
  SiteState state = SiteState::kUp;
  // Losses within the last hour.
  int losses = 0;
  std::string Serialize() const;
  // Returns nothing where the text is not in the format of Serialize.
  static std::optional<SiteStatus> Parse(std::string_view text);
  bool operator==(const SiteStatus&) const = default;
};

// The coordinator's decisions about all sites.
class SiteMonitor {
 public:
  explicit SiteMonitor(SiteRules rules) : rules_(rules) {}

  // Returns the status from now on. `agreed` is the status so far, by whichever coordinator. The times at
  // which another coordinator decided are not known here, so a new coordinator starts every waiting time
  // anew.
  SiteStatus Decide(const std::string& site, const SiteTally& tally, const std::optional<SiteStatus>& agreed,
                    Micros now);
  // How long a site must be seen again before it is up, after `losses` losses within the hour.
  Micros Hold(int losses) const;

 private:
  // What this coordinator knows of one site.
  struct History {
    SiteState state = SiteState::kUp;
    // When `state` was entered, or when a returning site last was not whole: one of its members out of
    // contact, or one elsewhere that saw none of them.
    Micros since{0};
    // Times of the losses within the last hour, oldest first.
    std::deque<Micros> losses;
  };
  SiteState StateWhilePresent(const SiteTally& tally) const;

  const SiteRules rules_;
  // By site.
  std::map<std::string, History> histories_;
};

}  // namespace indigosaddle::fleet

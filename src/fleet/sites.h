// What state a whole site is in, decided by the coordinator from what the members of the other sites see: no
// single view counts. Told apart: a site that is lost, one that has lost some members, only its clients or
// only discovery, and one that comes back. No I/O; time is an argument.
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
  kThin,       // some of its members are gone
  kNoList,     // it serves, but discovery is lost there
  kNoClients,  // it serves, but no clients reach it
  kLost,       // agreed: nobody elsewhere sees any of its members
  kReturning,  // it is seen again, and has not been for long enough
};
const char* NameOf(SiteState state);

struct SiteRules {
  double accusing_share = 0.66;  // part of the members of other sites that must see nobody of it
  Micros return_hold{std::chrono::seconds(30)};  // seen so long after a first loss, it is up again
  Micros max_return_hold{
      std::chrono::minutes(10)};  // doubled with each further loss within the hour, up to this
};

// What a member says of itself and sees of the others, as its own fact "view/NAME".
struct MemberSight {
  bool touch = false;                // in touch with a majority of the voters
  bool list = true, clients = true;  // discovery's watch stands; clients are there
  std::vector<std::string> unseen;   // sites of which it sees nobody
  std::string Text() const;
  static std::optional<MemberSight> Parse(std::string_view text);
  bool operator==(const MemberSight&) const = default;
};

struct SiteReport {              // of one site, from all sights
  int members = 0, present = 0;  // by the file; seen by the coordinator
  int touch = 0;                 // of the present, in touch
  int without_list = 0, without_clients = 0;
  int others = 0, accusers = 0;  // members elsewhere that are in touch; of these, that see nobody of it
};

constexpr int kMostLosses = 3600;  // a site's, within the hour

// What is agreed, as the coordinator's fact "site/NAME". `losses`: within the hour.
struct SiteStatus {
  SiteState state = SiteState::kUp;
  int losses = 0;
  std::string Text() const;
  static std::optional<SiteStatus> Parse(std::string_view text);
  bool operator==(const SiteStatus&) const = default;
};

class Sites {
 public:
  explicit Sites(SiteRules rules) : rules_(rules) {}

  // What holds from now on. `agreed`: what held so far, by whichever coordinator; its memory of when is not
  // told, so a new one begins each span anew.
  SiteStatus Decide(const std::string& site, const SiteReport& report,
                    const std::optional<SiteStatus>& agreed, Micros now);
  Micros Hold(int losses) const;

 private:
  struct Past {
    SiteState state = SiteState::kUp;
    Micros since{0};
    std::deque<Micros> losses;
  };
  SiteState Present(const SiteReport& report) const;

  const SiteRules rules_;
  std::map<std::string, Past> past_;
};

}  // namespace indigosaddle::fleet

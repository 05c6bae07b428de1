// Parses the list of endpoints, and changes of it, from discovery's JSON text. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigosaddle::net {

// The health of an endpoint, as discovery reports it.
enum class ReportedHealth : std::uint8_t { kReady, kTerminating, kGone };

// An entry of the list: one endpoint. Some members are named differently from the fields of discovery's JSON.
struct Member {
  // `host`: the endpoint's id. `address`: discovery's "dial", the address to connect to, as "ip:port".
  // `kind`: discovery's "class".
  std::string host, address, site, kind;
  std::uint64_t destination = 0;  // discovery's "block"
  // Calls a second that its destination takes (Settings::weights): discovery's "share". 0: not reported.
  double rate_limit = 0;
  ReportedHealth health = ReportedHealth::kReady;
};

// What one text of discovery says: the whole list, or a change of it.
struct MemberListUpdate {
  std::uint64_t version = 0;
  bool whole = false;  // true: the whole list; false: only what changed
  std::vector<Member> members;
  // Hosts with an entry that is unreadable, or with entries that contradict each other. They are not among
  // the members. Their entries may have said that they drain.
  std::vector<std::string> unreadable;
  bool incomplete = false;           // a part of the text could not be used: the whole list may contain it
  std::vector<std::string> skipped;  // the entries that could not be used, with the reasons, for the log
};

// Returns nothing if the text as a whole is not a list or a change. An entry is used whole or not at all.
std::optional<MemberListUpdate> ParseMembers(std::string_view json);

// Tracks whether a JSON text that arrives in pieces is within an object. Needed because discovery may send an
// object indented, over several lines.
class JsonNesting {
 public:
  void Add(std::string_view bytes);
  // An object has begun and not ended yet.
  bool open() const { return depth_ > 0; }

 private:
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false;
};

}  // namespace indigosaddle::net

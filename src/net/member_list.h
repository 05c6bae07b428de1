// The list of endpoints as discovery writes it: JSON text in, entries out. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigosaddle::net {

enum class Health : std::uint8_t { kReady, kTerminating, kGone };

struct Member {  // in discovery's words
  std::string host, dial, site, kind;
  std::uint64_t block = 0;
  double share = 0;  // what it takes, where the list's weights mean that; 0: it does not say
  Health health = Health::kReady;
};

struct MemberNews {
  std::uint64_t version = 0;
  bool whole = false;
  std::vector<Member> members;
  // Hosts of which an entry can't be read whole, or of which two contradict each other: not among the
  // members. What was said of them may have been that they drain.
  std::vector<std::string> unsure;
  bool incomplete = false;  // something that the text said is not known here: the whole list may tell
  std::vector<std::string> skipped;  // what could not be used, and why
};

// Nothing where the text as a whole is no such object. An entry is taken whole or not at all.
std::optional<MemberNews> ParseMembers(std::string_view json);

// Whether a JSON text is within an object, bytes at a time: an object may come indented, on several lines.
class Nesting {
 public:
  void Take(std::string_view bytes);
  bool open() const { return depth_ > 0; }

 private:
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false;
};

}  // namespace indigosaddle::net

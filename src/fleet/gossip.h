// What is new and must reach every member: words about members and facts, piggybacked on whatever is sent,
// the least told first, each a number of times that grows with the logarithm of the fleet (SWIM,
// section 4.1).
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <variant>

#include "fleet/types.h"

namespace indigosaddle::fleet {

class Gossip {
 public:
  void Add(const MemberWord& word);  // takes the place of an older word about the same
  void Add(const Fact& fact);

  // Puts what fits into `bytes` of the packet. `members` is the size of the fleet.
  void Fill(Packet& packet, std::size_t bytes, std::size_t members);
  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    std::variant<MemberWord, Fact> what;
    int told = 0;
    std::uint64_t added = 0;
  };
  std::map<std::string, Item> items_;
  std::uint64_t added_ = 0;
};

// Upper bounds of what a word takes on the wire.
std::size_t BytesOf(const MemberWord& word);
std::size_t BytesOf(const Fact& fact);

}  // namespace indigosaddle::fleet

// Queue of news that must reach every member: membership updates and facts. They are piggybacked on every
// packet, those sent least often first, each a number of times that grows with the logarithm of the fleet's
// size (SWIM, section 4.1).
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <variant>

#include "fleet/types.h"

namespace indigosaddle::fleet {

// The news that this member still has to pass on.
class Gossip {
 public:
  // Adds an item; it replaces an older one about the same member or key.
  void Add(const MemberUpdate& update);
  void Add(const Fact& fact);

  // Adds to the packet those items that fit into `bytes`. `members` is the size of the fleet.
  void Fill(Packet& packet, std::size_t bytes, std::size_t members);
  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    std::variant<MemberUpdate, Fact> content;
    // How often it was sent.
    int transmissions = 0;
    // Position in the order in which items were added.
    std::uint64_t added = 0;
  };
  // By "m/" and the member's name, or "f/" and the fact's key.
  std::map<std::string, Item> items_;
  // Number of items added so far.
  std::uint64_t added_ = 0;
};

// Upper bounds of the encoded size, in bytes.
std::size_t MaxEncodedBytes(const MemberUpdate& update);
std::size_t MaxEncodedBytes(const Fact& fact);

}  // namespace indigosaddle::fleet

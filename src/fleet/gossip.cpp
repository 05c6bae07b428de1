#include "fleet/gossip.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace indigosaddle::fleet {
namespace {

// Each item is sent this many times the binary logarithm of the fleet's size (SWIM's lambda). With 3 an item
// fails to reach a member of a large fleet less than once in 10^4; the periodic exchange covers the rest.
constexpr double kRetransmitMultiplier = 3;
constexpr std::size_t kMaxConsidered = 256;  // items per packet, those sent least often

}  // namespace

std::size_t MaxEncodedBytes(const MemberUpdate& update) {
  return update.name.size() + update.accuser.size() + 32;
}
std::size_t MaxEncodedBytes(const Fact& fact) {
  return fact.key.size() + fact.owner.size() + fact.value.size() + 40;
}

void Gossip::Add(const MemberUpdate& update) { items_["m/" + update.name] = {update, 0, ++added_}; }
void Gossip::Add(const Fact& fact) { items_["f/" + fact.key] = {fact, 0, ++added_}; }

void Gossip::Fill(Packet& packet, std::size_t bytes, std::size_t members) {
  if (items_.empty()) return;
  using Order = std::tuple<int, std::uint64_t, std::map<std::string, Item>::iterator>;
  std::vector<Order> order;
  order.reserve(items_.size());
  for (auto it = items_.begin(); it != items_.end(); ++it)
    order.emplace_back(it->second.transmissions, ~it->second.added, it);
  const auto before = [](const Order& a, const Order& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b));
  };
  const std::size_t considered = std::min(order.size(), kMaxConsidered);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(considered), order.end(),
                    before);
  const int max_transmissions =
      static_cast<int>(std::ceil(kRetransmitMultiplier * std::log2(static_cast<double>(members) + 1)));
  for (std::size_t i = 0; i < considered; ++i) {
    const auto it = std::get<2>(order[i]);
    const std::size_t size =
        std::visit([](const auto& content) { return MaxEncodedBytes(content); }, it->second.content);
    if (size > bytes) continue;  // a smaller one may fit
    bytes -= size;
    if (const auto* update = std::get_if<MemberUpdate>(&it->second.content)) {
      packet.members.push_back(*update);
    } else {
      packet.facts.push_back(std::get<Fact>(it->second.content));
    }
    if (++it->second.transmissions >= max_transmissions) items_.erase(it);
  }
}

}  // namespace indigosaddle::fleet

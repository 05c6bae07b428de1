#include "fleet/gossip.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace indigosaddle::fleet {
namespace {

// Times that each item is told, per logarithm of the fleet: with 3 a word misses a member of a large fleet
// less than once in 10^4 (SWIM's lambda); the periodic exchange finds the rest.
constexpr double kSpread = 3;
constexpr std::size_t kMostConsidered = 256;  // items a packet, of those told least

}  // namespace

std::size_t BytesOf(const MemberWord& word) { return word.name.size() + word.accuser.size() + 32; }
std::size_t BytesOf(const Fact& fact) { return fact.key.size() + fact.owner.size() + fact.value.size() + 40; }

void Gossip::Add(const MemberWord& word) { items_["m/" + word.name] = {word, 0, ++added_}; }
void Gossip::Add(const Fact& fact) { items_["f/" + fact.key] = {fact, 0, ++added_}; }

void Gossip::Fill(Packet& packet, std::size_t bytes, std::size_t members) {
  if (items_.empty()) return;
  using Order = std::tuple<int, std::uint64_t, std::map<std::string, Item>::iterator>;
  std::vector<Order> order;
  order.reserve(items_.size());
  for (auto it = items_.begin(); it != items_.end(); ++it)
    order.emplace_back(it->second.told, ~it->second.added, it);
  const auto before = [](const Order& a, const Order& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b));
  };
  const std::size_t considered = std::min(order.size(), kMostConsidered);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(considered), order.end(),
                    before);
  const int most = static_cast<int>(std::ceil(kSpread * std::log2(static_cast<double>(members) + 1)));
  for (std::size_t i = 0; i < considered; ++i) {
    const auto it = std::get<2>(order[i]);
    const std::size_t size = std::visit([](const auto& what) { return BytesOf(what); }, it->second.what);
    if (size > bytes) continue;  // a smaller one may fit
    bytes -= size;
    if (const auto* word = std::get_if<MemberWord>(&it->second.what)) {
      packet.members.push_back(*word);
    } else {
      packet.facts.push_back(std::get<Fact>(it->second.what));
    }
    if (++it->second.told >= most) items_.erase(it);
  }
}

}  // namespace indigosaddle::fleet

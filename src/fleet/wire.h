// Packets as bytes, by protobuf. Versioned: a packet of another version is not read; fields that a later
// program adds are passed over. Bounded: what is longer than the bounds here, or holds a value that no
// program of this version sends, is no packet. Whole: protobuf reads a field that is absent as 0 or empty, so
// what can't be 0 or empty must be there in every word, or there is no packet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/types.h"

namespace indigosaddle::fleet {

constexpr std::uint32_t kWireVersion = 1;
constexpr std::size_t kMostName = 64;
constexpr std::size_t kMostExchangeBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMostMembers = 10000;
constexpr std::size_t kMostLeaseWords = 128;
// Of processes, ballots, rounds, epochs and versions: readers count on from these.
constexpr std::uint64_t kMostNumber = ~std::uint64_t{0} >> 1;
constexpr std::uint32_t kMostIncarnation = ~std::uint32_t{0} >> 1;

std::string Encode(const Packet& packet);
std::optional<Packet> Decode(std::string_view bytes);

}  // namespace indigosaddle::fleet

// Packets as bytes, by protobuf. Versioned: a packet of another version is not read; fields that a later
// program adds are passed over. Bounded: what is longer than the bounds here, or holds a value that no
// program of this version sends, is no packet.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/types.h"

namespace indigosaddle::fleet {

constexpr std::uint32_t kWireVersion = 1;
constexpr std::size_t kMostName = 64;
constexpr std::size_t kMostExchangeBytes = std::size_t{4} * 1024 * 1024;
constexpr int kMostMembers = 10000;
constexpr int kMostLeaseWords = 128;

std::string Encode(const Packet& packet);
std::optional<Packet> Decode(std::string_view bytes);

}  // namespace indigosaddle::fleet

// Encodes packets with protobuf (fleet.proto). Versioned: a packet of another version is rejected; fields
// that a later version adds are ignored. Bounded: a packet that exceeds the limits below, or holds a value
// that no program of this version sends, is rejected. Complete: protobuf reads an absent field as 0 or empty,
// so a field that cannot be 0 or empty must be present in every message, or the packet is rejected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/types.h"

namespace indigosaddle::fleet {

constexpr std::uint32_t kWireVersion = 1;
// Most bytes of a member's or a resource's name.
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxExchangeBytes = std::size_t{4} * 1024 * 1024;
// Most member updates in a packet.
constexpr std::size_t kMaxMembers = 10000;
// Most lease messages in a packet.
constexpr std::size_t kMaxLeaseMessages = 128;
// Highest start number, ballot counter, round, epoch and version. Receivers add to these numbers, so they
// must stay well below the overflow.
constexpr std::uint64_t kMaxNumber = ~std::uint64_t{0} >> 1;
constexpr std::uint32_t kMaxIncarnation = ~std::uint32_t{0} >> 1;

std::string Encode(const Packet& packet);
// Returns nothing where the bytes are no valid packet.
std::optional<Packet> Decode(std::string_view bytes);

}  // namespace indigosaddle::fleet

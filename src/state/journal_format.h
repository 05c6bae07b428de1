// What the writer and the reader of the journal share: its header and the frame of a record. A part of
// src/state/journal.h.
#pragma once

#include <zlib.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace indigosaddle::state {

constexpr std::string_view kMagic = "indigosaddle journal ";
// The version that is written. Versions 1 and 2 have zone numbers in place of zone names, and no rules in
// messages; version 1 also has no AttemptConnecting records. Both can still be read.
constexpr std::uint64_t kVersion = 3;
// The first version with rules in messages and with zone names.
constexpr std::uint64_t kFirstVersionWithRules = 3;
constexpr std::size_t kVersionBytes = 4;
constexpr std::size_t kHeaderBytes = kMagic.size() + kVersionBytes;
// Length and checksum, which precede each record's body.
constexpr std::size_t kFrameBytes = 8;

// The lowest `bytes` bytes of `value`, least significant first.
inline std::string LittleEndian(std::uint64_t value, std::size_t bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  return out;
}

// The header of a journal of this version.
inline std::string HeaderOf(std::uint64_t version) {
  return std::string(kMagic) + LittleEndian(version, kVersionBytes);
}

// CRC-32 of a record's body.
inline std::uint64_t Checksum(std::string_view bytes) {
  return crc32(crc32(0, nullptr, 0), reinterpret_cast<const Bytef*>(bytes.data()),
               static_cast<uInt>(bytes.size()));
}

}  // namespace indigosaddle::state

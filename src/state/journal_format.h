// What the writer and the reader of the journal have in common: its head and the frame of a record. A part of
// src/state/journal.h.
#pragma once

#include <zlib.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace indigosaddle::state {

constexpr std::string_view kMagic = "indigosaddle journal ";
// 1 has no AttemptConnecting records, 2 numbers in place of zones' names and no rules of messages; both are
// read as well.
constexpr std::uint64_t kVersion = 3;
constexpr std::uint64_t kFirstVersionWithRules = 3;
constexpr std::size_t kVersionBytes = 4;
constexpr std::size_t kHeaderBytes = kMagic.size() + kVersionBytes;
constexpr std::size_t kFrameBytes = 8;  // length and checksum

inline std::string LittleEndian(std::uint64_t value, std::size_t bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  return out;
}

inline std::string HeaderOf(std::uint64_t version) {
  return std::string(kMagic) + LittleEndian(version, kVersionBytes);
}

inline std::uint64_t Checksum(std::string_view bytes) {
  return crc32(crc32(0, nullptr, 0), reinterpret_cast<const Bytef*>(bytes.data()),
               static_cast<uInt>(bytes.size()));
}

}  // namespace indigosaddle::state

#include "fleet/snapshot.h"

#include <algorithm>
#include <charconv>

namespace indigosaddle::fleet {

const char* NameOf(Connectivity connectivity) {
  switch (connectivity) {
    case Connectivity::kJoining: return "joining";
    case Connectivity::kConnected: return "connected";
    case Connectivity::kIsolated: return "cut off";
  }
  return "?";
}

std::optional<std::size_t> ParseSenders(std::string_view text) {
  std::size_t count = 0;
  const char* const end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, count);
  const bool whole = error == std::errc() && at == end && count > 0 && count <= kMaxSenders;
  return whole ? std::optional(count) : std::nullopt;
}

std::size_t SendersToUse(const Snapshot& snapshot, std::size_t by_file) {
  if (!snapshot.senders) return std::max(by_file, snapshot.present);
  return snapshot.connectivity == Connectivity::kConnected ? *snapshot.senders
                                                           : std::max(by_file, *snapshot.senders);
}

}  // namespace indigosaddle::fleet

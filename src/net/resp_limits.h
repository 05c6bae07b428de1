// Limits of a client's connection: how long it may stay in each state, and how much it may hold.
#pragma once

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "brain.h"

namespace indigosaddle::net::resp {

// Bytes of replies that are not written yet. Above this, no further commands are read.
constexpr std::size_t kMaxUnwrittenBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxPendingReplies = 256;  // commands of one connection without a reply
// Commands that one connection executes before others have their turn: a client that sends at full speed must
// not delay the others.
constexpr int kMaxCommandsPerPass = 64;
// Bytes that are read at once: much, so that the client's end behind them is seen, unless memory is scarce.
constexpr std::size_t kMaxBytesPerRead = std::size_t{64} * 1024;
constexpr std::size_t kMaxBytesPerScarceRead = std::size_t{8} * 1024;
// Memory that a command takes while it is executed, beside its bytes.
constexpr std::size_t kCommandOverheadBytes = 512;

// The times below take into account that clients wait 400 ms for a reply.
constexpr Micros kFirstByteTimeout = std::chrono::seconds(2);  // from accept
// Between two commands. Applies only while over a quarter of the connections is in use: clients that ask once
// and stay connected hold slots that others wait for.
constexpr Micros kIdleTimeout = std::chrono::milliseconds(250);
constexpr Micros kReadTimeout = std::chrono::milliseconds(1500);     // within a command, for the next byte
constexpr Micros kCommandTimeout = std::chrono::milliseconds(2500);  // for a command, from its first byte
constexpr Micros kWriteTimeout = std::chrono::seconds(3);            // for the client to read replies
// For the client to close its side after a last reply that was an error.
constexpr Micros kErrorLingerTimeout = std::chrono::milliseconds(500);
// The same where the node ends the connection for another reason.
constexpr Micros kDisconnectLingerTimeout = std::chrono::milliseconds(200);
constexpr std::size_t kMaxDiscardedBytes = std::size_t{1024} * 1024;  // received while lingering
// A client with no byte for this long within a command may be evicted for a new client.
constexpr Micros kEvictStalledAfter = std::chrono::milliseconds(250);
// While the node stops, a client accepted less than this ago may still send its first command.
constexpr Micros kFirstCommandGrace = std::chrono::milliseconds(200);
// A client accepted less than this ago is evicted last, as it is about to send a command.
constexpr Micros kNewClientGrace = std::chrono::milliseconds(100);

// Whether the word is `upper` in upper, lower or mixed case.
inline bool EqualsIgnoringCase(const std::string& word, std::string_view upper) {
  return std::equal(word.begin(), word.end(), upper.begin(), upper.end(),
                    [](unsigned char a, char b) { return std::toupper(a) == b; });
}

}  // namespace indigosaddle::net::resp

// How long a client's connection may stay in each of its states, and how much it may hold.
#pragma once

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "brain.h"

namespace indigosaddle::net::resp {

constexpr std::size_t kMostUnwritten =
    std::size_t{64} * 1024;                   // of replies: a slow reader is read no further
constexpr std::size_t kMostUnanswered = 256;  // commands of one connection

// Clients wait 400 ms for an answer.
constexpr Micros kSilent = std::chrono::seconds(2);  // since it came, with no byte
// Between commands, where a quarter of the places is taken: clients that ask once and stay hold a share that
// others wait for.
constexpr Micros kQuiet = std::chrono::milliseconds(250);
constexpr Micros kStalled = std::chrono::milliseconds(1500);  // within a command, with no further byte
constexpr Micros kCommand = std::chrono::milliseconds(2500);  // of one command, from its first byte
constexpr Micros kUntaken = std::chrono::seconds(3);          // replies that the client does not read
constexpr Micros kLinger = std::chrono::milliseconds(500);    // after its last reply, for the client to leave
constexpr Micros kDepart = std::chrono::milliseconds(200);    // the same between requests
constexpr std::size_t kMostDiscarded = std::size_t{1024} * 1024;  // bytes that come meanwhile
constexpr Micros kGivesWay = std::chrono::milliseconds(250);      // a stalled command, to a new client
constexpr Micros kFirstCommand = std::chrono::milliseconds(200);  // as the node stops, for who has just come
constexpr Micros kNewcomer = std::chrono::milliseconds(100);      // who came just now is about to ask

inline bool Is(const std::string& word, std::string_view upper) {
  return std::equal(word.begin(), word.end(), upper.begin(), upper.end(),
                    [](unsigned char a, char b) { return std::toupper(a) == b; });
}

}  // namespace indigosaddle::net::resp

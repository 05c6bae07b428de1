// Pacing of requests to discovery, and parsing of its lists. Uses no sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/backoff.h"
#include "net/discovery.h"

namespace indigosaddle::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Backoff, DelaysStayBelowACeilingThatDoublesUpToTheMaximum) {
  Backoff backoff(milliseconds(100), milliseconds(1000), 7);
  for (int round = 0; round < 2; ++round, backoff.Reset())
    for (const int ceiling : {200, 400, 800, 1000, 1000, 1000}) {
      const Micros wait = backoff.NextDelay();
      EXPECT_GE(wait, milliseconds(100));
      EXPECT_LE(wait, milliseconds(ceiling));
    }
}

TEST(Backoff, ASeedRepeatsItsDelaysAndAnotherSeedDrawsOthers) {
  Backoff one(milliseconds(100), milliseconds(9000), 1), same(milliseconds(100), milliseconds(9000), 1),
      other(milliseconds(100), milliseconds(9000), 2);
  int different_delays = 0;
  for (int i = 0; i < 20; ++i) {
    const Micros wait = one.NextDelay();
    EXPECT_EQ(wait, same.NextDelay());
    different_delays += wait != other.NextDelay() ? 1 : 0;
  }
  EXPECT_GE(different_delays, 19);
}

TEST(RequestPacing, SmallFleetsWaitLittleAndFreeRequestsAreNotSpread) {
  for (const int senders : {0, 1, 3, 1000}) {
    const RequestPacing pacing_without_cost = RequestPacingFor(senders, Micros(0));
    EXPECT_EQ(pacing_without_cost.initial_jitter, Micros(0));
    EXPECT_EQ(pacing_without_cost.min_retry_delay, milliseconds(100));
    EXPECT_EQ(pacing_without_cost.max_retry_delay, milliseconds(1000));
  }
  // An agent that answers at once gets a short response timeout. A slow discovery that serves many nodes
  // must not get more requests for being slow: with a timeout of 1.2 s there, the fleet's herd-day score fell
  // from 0.81 to 0.04.
  EXPECT_EQ(RequestPacingFor(300, Micros(0)).response_timeout, milliseconds(1200));
  EXPECT_EQ(RequestPacingFor(300, seconds(10)).response_timeout, seconds(3));
  const RequestPacing small_fleet = RequestPacingFor(3, seconds(10));
  EXPECT_EQ(small_fleet.initial_jitter, milliseconds(150));
  EXPECT_EQ(small_fleet.min_retry_delay, milliseconds(300));
  EXPECT_EQ(small_fleet.max_retry_delay, milliseconds(1000));
}

// For every fleet size, a node whose request was refused retries within 4 s, and one whose watch ended
// reconnects within 2 s. A node must know a change 6 s after discovery can be reached, so at least 2 s are
// left for the answer. (An earlier rule let a refused node wait for four times must_ask_in.)
TEST(RequestPacing, DelaysStayWithinTheListChangeDeadline) {
  for (const Micros must_ask_in : {seconds(2), seconds(10), seconds(60)}) {
    for (const int senders : {1, 10, 100, 300, 1000, 100000}) {
      const RequestPacing pacing = RequestPacingFor(senders, must_ask_in);
      EXPECT_LE(pacing.initial_jitter, seconds(1));
      EXPECT_LE(pacing.max_retry_delay, seconds(4));
    }
  }
}

// If all nodes ask at once, discovery refuses all of them; 100 nodes that retried after 0.1 to 1 s kept it
// refusing for half a minute (70 requests a second). Spread over 1 s, 100 first requests make 10 per 100 ms
// on average; more than 26 in one of 10 bins occur once in 50,000 draws (Poisson). Retries come after 2 to 4
// s, 3 s on average: 33 a second, and over 60 once in 50,000 draws.
TEST(RequestPacing, AHundredNodesThatStartTogetherSpreadTheirRequests) {
  const RequestPacing pacing = RequestPacingFor(100, seconds(10));
  std::map<std::int64_t, int> first, repeats;  // numbers of requests per 100 ms and per second
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    Backoff backoff(pacing.min_retry_delay, pacing.max_retry_delay, seed);
    Micros request_time = backoff.Jitter(pacing.initial_jitter);
    ++first[request_time / milliseconds(100)];
    while ((request_time += backoff.NextDelay()) < seconds(100)) ++repeats[request_time / seconds(1)];
  }
  for (const auto& [bin, requests] : first) EXPECT_LE(requests, 26) << bin;
  int all = 0;
  for (const auto& [second, requests] : repeats) {
    EXPECT_LE(requests, 60) << second;
    all += requests;
  }
  EXPECT_LE(all, 3600);
  EXPECT_GE(all, 3000);
}

TEST(JsonNesting, AnObjectIsOpenUntilItsLastBraceWhateverItsStringsContain) {
  for (const std::string text : {R"({"a":{"b":"}\"}"},"c":[{}]})", R"({"a":"\\"})", R"({ "x" : "{{{" })"}) {
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      JsonNesting nesting;
      nesting.Add(std::string_view(text).substr(0, cut));
      EXPECT_TRUE(nesting.open()) << text << cut;
      nesting.Add(std::string_view(text).substr(cut));
      EXPECT_FALSE(nesting.open()) << text << cut;
    }
  }
}

const std::string kValidEntry =
    R"({"host":"s-1","dial":"127.0.0.1:9","site":"a","class":"m2","block":3,"health":"Ready","share":1.0,"born_ms":0})";

std::string List(const std::string& hosts) { return R"({"seq":41,"whole":true,"hosts":[)" + hosts + "]}"; }

TEST(Members, AValidListIsReadInFull) {
  const auto update = ParseMembers(List(kValidEntry));
  ASSERT_TRUE(update);
  EXPECT_EQ(update->version, 41u);
  EXPECT_TRUE(update->whole);
  ASSERT_EQ(update->members.size(), 1u);
  EXPECT_EQ(update->members[0].address, "127.0.0.1:9");
  EXPECT_EQ(update->members[0].kind, "m2");
  EXPECT_EQ(update->members[0].destination, 3u);
  EXPECT_EQ(update->members[0].health, ReportedHealth::kReady);
}

TEST(Members, MalformedEntriesAreSkippedAndTheRestUsed) {
  for (const std::string malformed :
       {R"(7)", R"({})", R"({"host":"x","dial":"nowhere","block":3,"health":"Ready"})",
        R"({"host":"x","dial":"127.0.0.1:1","block":-3,"health":"Ready"})",
        R"({"host":"x","dial":"127.0.0.1:1","block":"3","health":"Ready"})",
        R"({"host":"x","dial":"127.0.0.1:1","block":3,"health":"Fine"})",
        R"({"host":"a\r\nb","dial":"127.0.0.1:1","block":3,"health":"Ready"})",
        R"({"host":5,"dial":"127.0.0.1:1","block":3,"health":"Ready"})"}) {
    const auto update = ParseMembers(List(malformed + "," + kValidEntry));
    ASSERT_TRUE(update) << malformed;
    EXPECT_EQ(update->members.size(), 1u) << malformed;
    EXPECT_EQ(update->skipped.size(), 1u) << malformed;
  }
}

TEST(Members, OfTwoEntriesForAHostTheMoreCautiousHealthIsUsed) {
  std::string draining = kValidEntry;
  draining.replace(draining.find("Ready"), 5, "Terminating");
  const auto update = ParseMembers(List(kValidEntry + "," + draining));
  ASSERT_TRUE(update);
  ASSERT_EQ(update->members.size(), 1u);
  EXPECT_EQ(update->members[0].health, ReportedHealth::kTerminating);
}

TEST(Members, AMalformedListIsRejected) {
  for (const std::string malformed :
       {"", "[]", "{}", "{\"seq\":1}", R"({"seq":-1,"whole":true,"hosts":[]})",
        R"({"seq":1,"whole":1,"hosts":[]})", R"({"seq":1,"whole":true,"hosts":{}})",
        R"({"seq":1,"whole":true,"hosts":[)"}) {
    EXPECT_FALSE(ParseMembers(malformed)) << malformed;
  }
}

TEST(Members, SeededMutationsNeverCrash) {
  std::mt19937 random(17);
  const std::string whole = List(kValidEntry);
  int accepted = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string malformed = whole;
    for (int i = 0; i < 2; ++i) malformed[random() % malformed.size()] = static_cast<char>(random());
    accepted += ParseMembers(malformed).has_value() ? 1 : 0;
  }
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, 5000);
}

}  // namespace
}  // namespace indigosaddle::net

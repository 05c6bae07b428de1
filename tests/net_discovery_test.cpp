// When discovery is asked again, and what of its lists is read. No sockets.
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
#include "net/list_clock.h"

namespace indigosaddle::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Backoff, WaitsAreDrawnBelowACeilingThatDoublesUpToTheMost) {
  Backoff backoff(milliseconds(100), milliseconds(1000), 7);
  for (int round = 0; round < 2; ++round, backoff.Reset())
    for (const int ceiling : {200, 400, 800, 1000, 1000, 1000}) {
      const Micros wait = backoff.NextDelay();
      EXPECT_GE(wait, milliseconds(100));
      EXPECT_LE(wait, milliseconds(ceiling));
    }
}

TEST(Backoff, ASeedRepeatsItsWaitsAndAnotherDrawsOthers) {
  Backoff one(milliseconds(100), milliseconds(9000), 1), same(milliseconds(100), milliseconds(9000), 1),
      other(milliseconds(100), milliseconds(9000), 2);
  int differ = 0;
  for (int i = 0; i < 20; ++i) {
    const Micros wait = one.NextDelay();
    EXPECT_EQ(wait, same.NextDelay());
    differ += wait != other.NextDelay() ? 1 : 0;
  }
  EXPECT_GE(differ, 19);
}

TEST(RequestPacing, FewNodesAskAsOneAndRequestsThatCostNothingAreNotSpread) {
  for (const int senders : {0, 1, 3, 1000}) {
    const RequestPacing free = RequestPacingFor(senders, Micros(0));
    EXPECT_EQ(free.initial_jitter, Micros(0));
    EXPECT_EQ(free.min_retry_delay, milliseconds(100));
    EXPECT_EQ(free.max_retry_delay, milliseconds(1000));
  }
  // An agent that answers at once is given up soon; a discovery that many ask is not asked the more for being
  // slow: given up after 1.2 s, the fleet's herd day fell from 0.81 to 0.04.
  EXPECT_EQ(RequestPacingFor(300, Micros(0)).response_timeout, milliseconds(1200));
  EXPECT_EQ(RequestPacingFor(300, seconds(10)).response_timeout, seconds(3));
  const RequestPacing few = RequestPacingFor(3, seconds(10));
  EXPECT_EQ(few.initial_jitter, milliseconds(150));
  EXPECT_EQ(few.min_retry_delay, milliseconds(300));
  EXPECT_EQ(few.max_retry_delay, milliseconds(1000));
}

// Whatever the fleet, a node that was refused asks again within 4 s, and one whose watch ended within 2: a
// change counts as told 6 s after discovery can be reached, so that 2 s and more are left for the answer.
// (The term before this one let a refused node wait for four times must_ask_in.)
TEST(RequestPacing, TheWaitStaysWithinWhatTheRuleAllows) {
  for (const Micros must_ask_in : {seconds(2), seconds(10), seconds(60)}) {
    for (const int senders : {1, 10, 100, 300, 1000, 100000}) {
      const RequestPacing pace = RequestPacingFor(senders, must_ask_in);
      EXPECT_LE(pace.initial_jitter, seconds(1));
      EXPECT_LE(pace.max_retry_delay, seconds(4));
    }
  }
}

// Asked at once by all, discovery refuses all; 100 nodes that came back after 0.1 to 1 s kept it refusing for
// half a minute (70 requests a second). Spread over 1 s, 100 first requests make 10 in 100 ms on average; in
// 10 bins more than 26 are met once in 50,000 draws (Poisson). Repeats come after 2 to 4 s, 3 s on average:
// 33 a second, over 60 once in 50,000.
TEST(RequestPacing, AHundredNodesThatStartInOneInstantDoNotAskInOne) {
  const RequestPacing pace = RequestPacingFor(100, seconds(10));
  std::map<std::int64_t, int> first, repeats;  // by 100 ms, by second
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    Backoff backoff(pace.min_retry_delay, pace.max_retry_delay, seed);
    Micros at = backoff.Jitter(pace.initial_jitter);
    ++first[at / milliseconds(100)];
    while ((at += backoff.NextDelay()) < seconds(100)) ++repeats[at / seconds(1)];
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

// ---- The list's clock -------------------------------------------------------------------------------------

TEST(ListClock, WhatCanNotBeReachedOutdatesNothing) {
  ListClock clock;
  clock.OnConfirmed(seconds(10));
  for (int at = 12; at < 100; at += 4) clock.OnNoResponse(seconds(at));
  EXPECT_EQ(clock.outdated_from(), Micros::max());
}

TEST(ListClock, ARefusalStartsNothingAnew) {
  ListClock clock;
  clock.OnConfirmed(seconds(10));
  for (const int at : {11, 13, 15}) {
    clock.OnRefused();
    EXPECT_EQ(clock.outdated_from(), seconds(16) - kListChangeMargin) << at;
  }
}

// Refused after it could not be reached: it may have come back when the request before was begun, no sooner.
TEST(ListClock, ItRunsFromTheLatestRequestThatWasNotAnswered) {
  ListClock clock;
  clock.OnConfirmed(seconds(10));
  clock.OnNoResponse(seconds(30));
  clock.OnRefused();
  EXPECT_EQ(clock.outdated_from(), seconds(36) - kListChangeMargin);
}

TEST(ListClock, AListSetsItRight) {
  ListClock clock;
  clock.OnRefused();
  clock.OnConfirmed(seconds(10));
  EXPECT_EQ(clock.outdated_from(), Micros::max());
}

TEST(JsonNesting, AnObjectIsOpenUntilItsLastBraceWhateverItsStringsHold) {
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

const std::string kGood =
    R"({"host":"s-1","dial":"127.0.0.1:9","site":"a","class":"m2","block":3,"health":"Ready","share":1.0,"born_ms":0})";

std::string List(const std::string& hosts) { return R"({"seq":41,"whole":true,"hosts":[)" + hosts + "]}"; }

TEST(Members, AGoodListIsReadWhole) {
  const auto news = ParseMembers(List(kGood));
  ASSERT_TRUE(news);
  EXPECT_EQ(news->version, 41u);
  EXPECT_TRUE(news->whole);
  ASSERT_EQ(news->members.size(), 1u);
  EXPECT_EQ(news->members[0].dial, "127.0.0.1:9");
  EXPECT_EQ(news->members[0].kind, "m2");
  EXPECT_EQ(news->members[0].block, 3u);
  EXPECT_EQ(news->members[0].health, Health::kReady);
}

TEST(Members, BadEntriesAreSkippedAndTheRestUsed) {
  for (const std::string bad :
       {R"(7)", R"({})", R"({"host":"x","dial":"nowhere","block":3,"health":"Ready"})",
        R"({"host":"x","dial":"127.0.0.1:1","block":-3,"health":"Ready"})",
        R"({"host":"x","dial":"127.0.0.1:1","block":"3","health":"Ready"})",
        R"({"host":"x","dial":"127.0.0.1:1","block":3,"health":"Fine"})",
        R"({"host":"a\r\nb","dial":"127.0.0.1:1","block":3,"health":"Ready"})",
        R"({"host":5,"dial":"127.0.0.1:1","block":3,"health":"Ready"})"}) {
    const auto news = ParseMembers(List(bad + "," + kGood));
    ASSERT_TRUE(news) << bad;
    EXPECT_EQ(news->members.size(), 1u) << bad;
    EXPECT_EQ(news->skipped.size(), 1u) << bad;
  }
}

TEST(Members, NamedTwiceTheCarefulReadingHolds) {
  std::string draining = kGood;
  draining.replace(draining.find("Ready"), 5, "Terminating");
  const auto news = ParseMembers(List(kGood + "," + draining));
  ASSERT_TRUE(news);
  ASSERT_EQ(news->members.size(), 1u);
  EXPECT_EQ(news->members[0].health, Health::kTerminating);
}

TEST(Members, WhatIsNoListIsNone) {
  for (const std::string bad : {"", "[]", "{}", "{\"seq\":1}", R"({"seq":-1,"whole":true,"hosts":[]})",
                                R"({"seq":1,"whole":1,"hosts":[]})", R"({"seq":1,"whole":true,"hosts":{}})",
                                R"({"seq":1,"whole":true,"hosts":[)"}) {
    EXPECT_FALSE(ParseMembers(bad)) << bad;
  }
}

TEST(Members, SeededMutationsNeverCrash) {
  std::mt19937 random(17);
  const std::string whole = List(kGood);
  int read = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string bad = whole;
    for (int i = 0; i < 2; ++i) bad[random() % bad.size()] = static_cast<char>(random());
    read += ParseMembers(bad).has_value() ? 1 : 0;
  }
  EXPECT_GT(read, 0);
  EXPECT_LT(read, 5000);
}

}  // namespace
}  // namespace indigosaddle::net

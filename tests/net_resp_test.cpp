// RESP2 and what a client hands in, as bytes. No sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/resp.h"

namespace indigosaddle::net {
namespace {

using Status = RespReader::Status;
using Commands = std::vector<std::vector<std::string>>;

std::string Bulk(std::string_view text) {
  std::string out = "$" + std::to_string(text.size());
  return out.append("\r\n").append(text).append("\r\n");
}

std::string Command(const std::vector<std::string>& parts) {
  std::string out = "*" + std::to_string(parts.size()) + "\r\n";
  for (const std::string& part : parts) out += Bulk(part);
  return out;
}

// Reads pieces; "!" and the trouble end the list where the stream broke.
Commands ReadAll(const std::vector<std::string_view>& pieces) {
  RespReader reader;
  Commands commands;
  for (std::string_view piece : pieces) {
    while (!piece.empty()) {
      const Status status = reader.Next(piece);
      if (status == Status::kNeedsMore) break;
      if (status == Status::kMalformed) {
        commands.push_back({"!", reader.error()});
        return commands;
      }
      commands.push_back(reader.command());
    }
  }
  return commands;
}

TEST(Resp, EverySplitPointReadsTheSame) {
  const Commands wanted = {
      {"PING"}, {"ENQUEUE", "0", "id", "c=a,d=1,dest=2", std::string("\r\n\0$5*", 6)}, {"", "x"}};
  std::string bytes;
  for (const auto& command : wanted) bytes += Command(command);
  bytes.insert(0, "*0\r\n");
  const std::string_view all = bytes;
  EXPECT_EQ(ReadAll({all}), wanted);
  for (std::size_t i = 0; i <= all.size(); ++i) {
    EXPECT_EQ(ReadAll({all.substr(0, i), all.substr(i)}), wanted) << i;
  }
  std::vector<std::string_view> single;
  for (std::size_t i = 0; i < all.size(); ++i) single.push_back(all.substr(i, 1));
  EXPECT_EQ(ReadAll(single), wanted);
}

TEST(Resp, TheLargestBodyPassesAndOneByteMoreDoesNot) {
  const std::string body(kMaxBodyBytes, 'x');
  EXPECT_EQ(ReadAll({Command({"A", body})}).at(0).at(1), body);
  EXPECT_EQ(ReadAll({Command({"A", body + "x"})}).at(0).at(0), "!");
}

TEST(Resp, WhatCantBeFollowedBreaksTheStream) {
  for (const std::string bad :
       {"PING\r\n", "*x\r\n", "*-1\r\n", "*65\r\n", "*99999999999999999999\r\n", "*1\n", "*1\r\n+OK\r\n",
        "*1\r\n$-1\r\n", "*1\r\n$65537\r\n", "*1\r\n$3\r\nabcd\r\n", "*1\r\n$18446744073709551617\r\n",
        "*11111111111111111111111111111111111111"}) {
    EXPECT_EQ(ReadAll({bad}).at(0).at(0), "!") << bad;
  }
}

TEST(Resp, SeededMutationsNeverCrashAndStayBounded) {
  std::mt19937 random(11);
  const std::string whole = Command({"PING"}) + Command({"ENQUEUE", "0", "id", "c=a,d=1,dest=2", "body"});
  for (int round = 0; round < 20000; ++round) {
    std::string bad = whole;
    for (int i = 0; i < 3; ++i) bad[random() % bad.size()] = static_cast<char>(random());
    const std::size_t cut = random() % bad.size();
    const std::string_view view = bad;
    EXPECT_LE(ReadAll({view.substr(0, cut), view.substr(cut)}).size(), 4u);
  }
}

TEST(Enqueue, TakesTheFieldsAndLeavesTheRestAsItCame) {
  Enqueue e;
  EXPECT_EQ(ParseEnqueue({"ENQUEUE", "0", "9b1f",
                          "c=notice,t=acme,d=8000.5,k=5c0f,thread=o1,dest=7,r=1,again=1,x=", "B\r\n"},
                         e),
            "");
  EXPECT_EQ(e.id, "9b1f");
  EXPECT_EQ(e.message_class, "notice");
  EXPECT_EQ(e.tenant, "acme");
  EXPECT_EQ(e.idempotency_key, "5c0f");
  EXPECT_EQ(e.order_key, "o1");
  EXPECT_EQ(e.time_left, Micros(8000500));
  EXPECT_EQ(e.destination, 7u);
  EXPECT_EQ(e.body, "B\r\n");
}

TEST(Enqueue, SaysWhatIsWrong) {
  const std::string good = "c=notice,d=8000,dest=7";
  for (const std::vector<std::string>& bad :
       std::vector<std::vector<std::string>>{{"ENQUEUE", "0", "id", good},
                                             {"ENQUEUE", "0", "id", good, "b", "more"},
                                             {"ENQUEUE", "0", "", good, "b"},
                                             {"ENQUEUE", "0", "two words", good, "b"},
                                             {"ENQUEUE", "0", "id\r\nX-Injected: 1", good, "b"},
                                             {"ENQUEUE", "0", std::string(300, 'i'), good, "b"},
                                             {"ENQUEUE", "0", "id", "", "b"},
                                             {"ENQUEUE", "0", "id", "c", "b"},
                                             {"ENQUEUE", "0", "id", "c=,d=1,dest=2", "b"},
                                             {"ENQUEUE", "0", "id", "d=1,dest=2", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,dest=2", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=1", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=x,dest=2", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=nan,dest=2", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=inf,dest=2", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=-1,dest=2", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=1,dest=-2", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=1,dest=2,k=a\nb", "b"},
                                             {"ENQUEUE", "0", "id", "c=a,d=1,dest=2,k=", "b"}}) {
    Enqueue e;
    EXPECT_NE(ParseEnqueue(bad, e), "") << ::testing::PrintToString(bad);
  }
}

}  // namespace
}  // namespace indigosaddle::net

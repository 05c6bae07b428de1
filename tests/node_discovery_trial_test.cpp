// A change on trial that names an address of discovery where something responds that is no discovery.
#include <gtest/gtest.h>

#include "changes.h"

namespace indigosaddle::testing {
namespace {

class DiscoveryTrial : public ChangesTest {
 protected:
  // The operator's file with the mistyped address.
  std::string Mistyped(const std::string& trial) {
    std::string document = Toml({{"trial", "\"" + trial + "\""}});
    const std::string right = "discovery = \"" + platform.address() + "\"";
    return document.replace(document.find(right), right.size(),
                            "discovery = \"" + other_service.address() + "\"");
  }
  HttpServer other_service{[](Socket& socket, const HttpRequest&) { return socket.Write(Answer(404)); }};
};

// Guards against a mistyped address that is kept: while nothing is sent no message ends, so the guard, which
// counts ended messages, sees nothing wrong.
TEST_F(DiscoveryTrial, AnAddressThatStopsTheNodeIsRolledBackAndSendingResumes) {
  ListSettler();
  node.toml = Toml({{"trial", "\"20s\""}});
  ASSERT_TRUE(node.Start());
  Settle("before");
  ASSERT_TRUE(Apply(Mistyped("20s")).at("ok").get<bool>());
  ASSERT_TRUE(Logged("list.outdated"));
  ASSERT_EQ(Enqueue("meanwhile", "c=safe,d=60000,dest=99"), "+OK");
  EXPECT_TRUE(LastResultBecomes("undone"));
  const auto undone_at = Clock::now();
  EXPECT_TRUE(Eventually([&] { return settler.CallsFor("meanwhile") == 1; }));
  EXPECT_LT(Clock::now() - undone_at, std::chrono::seconds(2));
  EXPECT_NE(LastGeneration().dump().find("status 404"), std::string::npos) << LastGeneration();
}

// The same where the trial ends before the list is outdated.
TEST_F(DiscoveryTrial, AnAddressWithoutAListIsRolledBackAtTheEndOfAShortTrial) {
  ListSettler();
  ASSERT_TRUE(node.Start());
  Settle("before");
  ASSERT_TRUE(Apply(Mistyped("1s")).at("ok").get<bool>());
  EXPECT_TRUE(LastResultBecomes("undone"));
  Settle("after");
  EXPECT_EQ(node.log().find("list.outdated"), std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::testing

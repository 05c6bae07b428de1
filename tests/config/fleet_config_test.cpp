// The fleet's part of an operator's file: it is read as a whole, and each fault in it is reported with its
// location.
#include <gtest/gtest.h>

#include <string>

#include "node/config.h"

namespace indigosaddle::node {
namespace {

const std::string kRequiredSections =
    "[node]\nname = \"a\"\nlisten = \"127.0.0.1:0\"\ndiscovery = \"127.0.0.1:9\"\nstate = \"/tmp\"\n"
    "[[classes]]\nname = \"n\"\n[[zones]]\nname = \"z\"\n";

Config MakeFleetConfig(const std::string& fleet) {
  return MakeConfig({{true, "f.toml", kRequiredSections + fleet}, {}, {}});
}

std::string FaultsOf(const std::string& fleet) {
  try {
    MakeFleetConfig(fleet);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(FleetConfigTest, EverySettingIsRead) {
  const Config config = MakeFleetConfig(
      "[fleet]\nlisten = \"127.0.0.1:7946\"\nprobe_every = \"2s\"\nlease = \"12s\"\nclock_drift = 0.02\n"
      "count_senders = true\nsite_agree = 0.8\n[[peers]]\nname = \"a\"\nsite = \"s\"\naddress = "
      "\"127.0.0.1:7946\"\n"
      "[[peers]]\nname = \"b\"\naddress = \"127.0.0.2:7946\"\nvotes = false\n[[sites]]\nname = \"s\"\nzone = "
      "\"z\"\n");
  EXPECT_EQ(config.fleet.listen, "127.0.0.1:7946");
  EXPECT_EQ(config.fleet.timing.lease, std::chrono::seconds(12));
  EXPECT_EQ(config.fleet.timing.probe_timeout, std::chrono::milliseconds(300));
  EXPECT_DOUBLE_EQ(config.fleet.sites.agreement_share, 0.8);
  ASSERT_EQ(config.fleet.peers.size(), 2u);
  EXPECT_EQ(config.fleet.peers[1].site, "main");
  EXPECT_FALSE(config.fleet.peers[1].votes);
  EXPECT_EQ(config.fleet.zone_by_site.at("s"), "z");
}

TEST(FleetConfigTest, WithoutAListenAddressTheFleetIsOff) {
  EXPECT_TRUE(
      MakeFleetConfig("[[peers]]\nname = \"b\"\naddress = \"127.0.0.2:7946\"\n").fleet.listen.empty());
}

// The platform's JSON is merged over the operator's file, but its "operator" part must be ignored.
TEST(FleetConfigTest, ThePlatformCannotSwitchTheFleetOn) {
  const std::string platform =
      "{\"operator\": {\"fleet\": {\"listen\": \"127.0.0.1:7946\"}, \"peers\": [{\"name\": \"a\", "
      "\"address\": "
      "\"127.0.0.1:7946\"}]}}";
  EXPECT_TRUE(
      MakeConfig({{true, "f.toml", kRequiredSections}, {true, "p.json", platform}, {}}).fleet.listen.empty());
}

TEST(FleetConfigTest, EveryFaultIsReportedWithItsLocation) {
  const std::string faults = FaultsOf(
      "[fleet]\nlisten = \"here\"\nprobe_timeout = \"2s\"\nlease = \"3s\"\n"
      "[[peers]]\nname = \"b\"\naddress = \"127.0.0.1:0\"\nvotes = false\n"
      "[[peers]]\nname = \"b\"\naddress = \"127.0.0.2:7\"\nvotes = false\n"
      "[[peers]]\nname = \"c\"\naddress = \"127.0.0.2:7\"\nvotes = false\n"
      "[[sites]]\nname = \"nowhere\"\nzone = \"none\"\n");
  for (const char* expected :
       {"f.toml:11:10: fleet.listen: \"here\"; expected \"ip:port\"",
        "no [[peers]] has this node's name, \"a\"", "no [[peers]] votes",
        "f.toml:12:17: fleet.probe_timeout: is no shorter than fleet.probe_every",
        "f.toml:13:9: fleet.lease: is shorter than 5 x fleet.probe_timeout",
        "f.toml:16:11: peers[0].address: \"127.0.0.1:0\"", "f.toml:19:8: peers[1].name: \"b\" is named twice",
        "f.toml:24:11: peers[2].address: \"127.0.0.2:7\" is another peer's as well",
        "f.toml:27:8: sites[0].name: \"nowhere\"; expected the site of one of [[peers]]",
        "f.toml:28:8: sites[0].zone: \"none\"; expected the name of one of [[zones]]"}) {
    EXPECT_NE(faults.find(expected), std::string::npos) << expected << "\nin\n" << faults;
  }
  EXPECT_NE(
      FaultsOf("[fleet]\nlease = \"soon\"\n").find("f.toml:11:9: fleet.lease: \"soon\"; expected a duration"),
      std::string::npos);
}

}  // namespace
}  // namespace indigosaddle::node

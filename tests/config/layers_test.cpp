// How the sources of the configuration are combined: which value is in force, and what differs between two
// configurations.
#include "config/layers.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "node/config.h"
#include "operators_file.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

TEST(Layers, ALaterSourceOverridesAnEarlierOne) {
  Sources sources{{true, "f.toml", kOperatorsToml},
                  {},
                  {{"EDGE_LISTEN", "127.0.0.9:1"}, {"EDGE_DISCOVERY", "127.0.0.9:2"}}};
  const auto shown = [&](const char* path) {
    const auto all = node::MakeConfig(sources).shown;
    for (const ShownValue& value : all) {
      if (value.path == path) return value.value + " from " + value.source;
    }
    return std::string("not shown");
  };
  EXPECT_EQ(shown("delivery.call_slots"), "8 from f.toml:8");
  EXPECT_EQ(shown("delivery.max_attempts"), "0 from default");
  EXPECT_EQ(shown("node.listen"), "127.0.0.9:1 from EDGE_LISTEN");
  EXPECT_EQ(shown("node.discovery"), "127.0.0.9:2 from EDGE_DISCOVERY");
  EXPECT_EQ(shown("delivery.zone"), "b from f.toml:10");
  EXPECT_EQ(shown("classes[0].aim"), "2500ms from f.toml:16");
  sources.platform = {true, "p.json",
                      R"({"discovery":"127.0.0.1:3","operator":{"log":{"level":"debug"}},
                          "settings":{"familyInfo":{"callSlots":5}}})"};
  EXPECT_EQ(shown("delivery.call_slots"), "5 from p.json");
  EXPECT_EQ(shown("delivery.holding_room"), "100 from f.toml:9");
  // The platform's file may change while the node runs; its environment may not.
  EXPECT_EQ(shown("node.discovery"), "127.0.0.1:3 from p.json");
  // The "operator" part of the platform's file is ignored.
  EXPECT_EQ(shown("log.level"), "info from default");
}

// The settings of delivery.weights, retry_advice and connection_price and of [watch]: left out, they change
// nothing; both the operator's file and the platform's JSON can give them.
TEST(WeightsPriceAndWatch, BothFormsGiveThemAndWithoutThemNothingChanges) {
  const node::Config default_config = node::MakeConfig({{true, "f.toml", kOperatorsToml}, {}, {}});
  EXPECT_EQ(default_config.settings.weights, Weights::kNone);
  EXPECT_TRUE(default_config.settings.retry_advice);
  EXPECT_EQ(default_config.settings.price_handshake, 0);
  EXPECT_FALSE(default_config.shadow.on);
  const auto edited = [](const std::string& delivery_lines, const std::string& sections) {
    std::string text = kOperatorsToml + sections;
    return text.insert(text.find("[delivery]\n") + 11, delivery_lines);
  };
  const node::Config file_config =
      node::MakeConfig({{true, "f.toml",
                         edited("weights = \"rough\"\nconnection_price = 0.02\n",
                                "[watch]\non = true\nweights = \"none\"\nfall = \"1500ms\"\nsenders = 9\n")},
                        {},
                        {}});
  EXPECT_EQ(file_config.settings.weights, Weights::kRough);
  EXPECT_EQ(file_config.settings.price_handshake, 0.02);
  EXPECT_TRUE(file_config.shadow.on);
  EXPECT_EQ(file_config.shadow.weights, Weights::kNone);
  EXPECT_EQ(file_config.shadow.fall, std::chrono::milliseconds(1500));
  EXPECT_EQ(file_config.shadow.AppliedTo(file_config.settings).senders, 9);
  EXPECT_EQ(file_config.shadow.AppliedTo(file_config.settings).price_handshake,
            0.02);  // left out: the value in force
  const std::string platform =
      R"({"settings":{"weightKind":"nominal","caps":{"retryAfter":false},"prices":{"handshake":0.06}},
          "watch":{"on":true,"weights":"off","retry_advice":true,"max_attempts":6}})";
  const node::Config platform_config =
      node::MakeConfig({{true, "f.toml", kOperatorsToml}, {true, "p.json", platform}, {}});
  EXPECT_EQ(platform_config.settings.weights, Weights::kNominal);
  EXPECT_FALSE(platform_config.settings.retry_advice);
  EXPECT_EQ(platform_config.settings.price_handshake, 0.06);
  EXPECT_EQ(platform_config.shadow.weights, Weights::kNone);
  EXPECT_EQ(platform_config.shadow.max_attempts, 6);
  // The weights may change while the node runs, in both directions.
  EXPECT_EQ(node::WithRuntimeChanges(default_config, platform_config).settings.weights, Weights::kNominal);
  EXPECT_EQ(node::WithRuntimeChanges(platform_config, default_config).settings.weights, Weights::kNone);
}

TEST(WeightsPriceAndWatch, FaultsAreNamedInBothForms) {
  const auto faults = [](const std::string& toml, const std::string& platform) -> std::string {
    try {
      node::MakeConfig({{true, "f.toml", toml}, {!platform.empty(), "p.json", platform}, {}});
    } catch (const node::ConfigError& error) {
      return error.what();
    }
    return "";
  };
  const auto edited = [](const std::string& delivery_lines) {
    std::string text = kOperatorsToml;
    return text.insert(text.find("[delivery]\n") + 11, delivery_lines);
  };
  for (const auto& [lines, expected] : std::vector<std::pair<std::string, std::string>>{
           {"weights = \"heavy\"\n", "f.toml:8:11: delivery.weights"},
           {"weights = 3\n", "f.toml:8:11: delivery.weights"},
           {"retry_advice = \"no\"\n", "delivery.retry_advice"},
           {"connection_price = -1\n", "delivery.connection_price"},
           {"retry_advice = false\nmax_retry_after = \"2s\"\n", "no client would hear it"}}) {
    EXPECT_NE(faults(edited(lines), "").find(expected), std::string::npos)
        << lines << ": " << faults(edited(lines), "");
  }
  EXPECT_NE(faults(kOperatorsToml + "[watch]\non = 1\nfall = \"0s\"\n", "").find("watch.on"),
            std::string::npos);
  EXPECT_NE(faults(kOperatorsToml + "[watch]\non = 1\nfall = \"0s\"\n", "").find("watch.fall"),
            std::string::npos);
  const std::string bad =
      faults(kOperatorsToml, R"({"watch":{"on":"yes","weights":"heavy","senders":0,"rest":1}})");
  for (const char* name : {"watch.on", "watch.weights", "watch.senders", "watch.rest"})
    EXPECT_NE(bad.find(name), std::string::npos) << bad;
  EXPECT_NE(faults(kOperatorsToml, R"({"settings":{"weightKind":"heavy"}})").find("weightKind"),
            std::string::npos);
}

TEST(Layers, TablesAreComparedByNameNotByIndex) {
  const auto shown = [](const std::string& text) {
    return node::MakeConfig({{true, "f", text}, {}, {}}).shown;
  };
  const std::string added_last =
      kOperatorsToml + "[[classes]]\nname = \"extra\"\naim = \"1s\"\ndeadline = \"2s\"\n";
  std::string added_first = kOperatorsToml;
  added_first.insert(added_first.find("[[classes]]"),
                     "[[classes]]\nname = \"extra\"\naim = \"1s\"\ndeadline = \"2s\"\n");
  EXPECT_TRUE(Differences(shown(added_last), shown(added_first)).empty());
  for (const Difference& difference : Differences(shown(kOperatorsToml), shown(added_last)))
    EXPECT_EQ(difference.takes_effect, TakesEffect::kWhileRunning) << difference.path;
  const auto effect =
      Differences(shown(kOperatorsToml), shown(Edited("\"keyed\"\nkey_ttl = \"20s\"", "\"safe\"")));
  ASSERT_EQ(effect.size(), 2u);
  EXPECT_EQ(effect[0].path, "classes[notice].effect");
  EXPECT_EQ(effect[0].takes_effect, TakesEffect::kWhileRunning);  // for messages accepted from then on
  const auto fee = Differences(shown(kOperatorsToml), shown(Edited("fee = 0.5", "fee = 0.7")));
  ASSERT_EQ(fee.size(), 1u);
  EXPECT_EQ(fee[0].takes_effect, TakesEffect::kAtRestart);
}

TEST(ClassNumbers, StayTheSameWhileTheProcessRuns) {
  const auto make = [](const std::string& classes) {
    return node::MakeConfig({{true, "f",
                              kOperatorsToml.substr(0, kOperatorsToml.find("[[classes]]")) + classes +
                                  kOperatorsToml.substr(kOperatorsToml.find("[[kinds]]"))},
                             {},
                             {}});
  };
  const auto table = [](const std::string& name, const std::string& aim) {
    return "[[classes]]\nname = \"" + name + "\"\naim = \"" + aim + "\"\ndeadline = \"1h\"\n";
  };
  const node::Config initial = make(table("a", "1s") + table("b", "2s"));
  const node::Config changed = node::WithRuntimeChanges(initial, make(table("c", "3s") + table("b", "4s")));
  EXPECT_EQ(changed.classes, (std::map<std::string, int>{{"b", 1}, {"c", 2}}));
  // Messages that are still held of the removed class need its settings.
  EXPECT_EQ(changed.settings.classes.at(0).aim, std::chrono::seconds(1));
  EXPECT_EQ(changed.settings.classes.at(1).aim, std::chrono::seconds(4));
  const node::Config restored = node::WithRuntimeChanges(changed, make(table("a", "5s")));
  // A name that comes back is a new class: messages with its old number may still be held.
  EXPECT_EQ(restored.classes.at("a"), 3);
}

}  // namespace
}  // namespace indigosaddle::config

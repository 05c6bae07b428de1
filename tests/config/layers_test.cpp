// The sources of the configuration over one another: what is in force, and what differs.
#include "config/layers.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "good_document.h"
#include "node/config.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

TEST(Layers, TheLaterSourceGoesBeforeTheEarlier) {
  Sources sources{
      {true, "f.toml", kGood}, {}, {{"EDGE_LISTEN", "127.0.0.9:1"}, {"EDGE_DISCOVERY", "127.0.0.9:2"}}};
  const auto shown = [&](const char* path) {
    const auto all = node::MakeConfig(sources).shown;
    for (const Shown& one : all) {
      if (one.path == path) return one.value + " from " + one.from;
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
  EXPECT_EQ(shown("node.discovery"),
            "127.0.0.1:3 from p.json");                // the platform's file may change, its environment not
  EXPECT_EQ(shown("log.level"), "info from default");  // the platform has no word in the operator's part
}

// What the move added: left out, the node decides as before; given, in both forms; what is wrong is named.
TEST(NewShape, SettingsComeFromBothFormsAndTheirAbsenceChangesNothing) {
  const node::Config plain = node::MakeConfig({{true, "f.toml", kGood}, {}, {}});
  EXPECT_EQ(plain.settings.weights, Weights::kNone);
  EXPECT_TRUE(plain.settings.retry_advice);
  EXPECT_EQ(plain.settings.price_handshake, 0);
  EXPECT_FALSE(plain.shadow.on);
  const auto edited = [](const std::string& more, const std::string& end) {
    std::string text = kGood + end;
    return text.insert(text.find("[delivery]\n") + 11, more);
  };
  const node::Config own =
      node::MakeConfig({{true, "f.toml",
                         edited("weights = \"rough\"\nconnection_price = 0.02\n",
                                "[watch]\non = true\nweights = \"none\"\nfall = \"1500ms\"\nsenders = 9\n")},
                        {},
                        {}});
  EXPECT_EQ(own.settings.weights, Weights::kRough);
  EXPECT_EQ(own.settings.price_handshake, 0.02);
  EXPECT_TRUE(own.shadow.on);
  EXPECT_EQ(own.shadow.weights, Weights::kNone);
  EXPECT_EQ(own.shadow.fall, std::chrono::milliseconds(1500));
  EXPECT_EQ(own.shadow.AppliedTo(own.settings).senders, 9);
  EXPECT_EQ(own.shadow.AppliedTo(own.settings).price_handshake, 0.02);  // not given: as in force
  const std::string platform =
      R"({"settings":{"weightKind":"nominal","caps":{"retryAfter":false},"prices":{"handshake":0.06}},
          "watch":{"on":true,"weights":"off","retry_advice":true,"max_attempts":6}})";
  const node::Config told = node::MakeConfig({{true, "f.toml", kGood}, {true, "p.json", platform}, {}});
  EXPECT_EQ(told.settings.weights, Weights::kNominal);
  EXPECT_FALSE(told.settings.retry_advice);
  EXPECT_EQ(told.settings.price_handshake, 0.06);
  EXPECT_EQ(told.shadow.weights, Weights::kNone);
  EXPECT_EQ(told.shadow.max_attempts, 6);
  EXPECT_EQ(node::WithRuntimeChanges(plain, told).settings.weights,
            Weights::kNominal);  // while it runs, and back
  EXPECT_EQ(node::WithRuntimeChanges(told, plain).settings.weights, Weights::kNone);
}

TEST(NewShape, WhatIsWrongIsNamedInBothForms) {
  const auto faults = [](const std::string& toml, const std::string& platform) -> std::string {
    try {
      node::MakeConfig({{true, "f.toml", toml}, {!platform.empty(), "p.json", platform}, {}});
    } catch (const node::ConfigError& error) {
      return error.what();
    }
    return "";
  };
  const auto own = [](const std::string& more) {
    std::string text = kGood;
    return text.insert(text.find("[delivery]\n") + 11, more);
  };
  for (const auto& [more, says] : std::vector<std::pair<std::string, std::string>>{
           {"weights = \"heavy\"\n", "f.toml:8:11: delivery.weights"},
           {"weights = 3\n", "f.toml:8:11: delivery.weights"},
           {"retry_advice = \"no\"\n", "delivery.retry_advice"},
           {"connection_price = -1\n", "delivery.connection_price"},
           {"retry_advice = false\nmax_retry_after = \"2s\"\n", "no client would hear it"}}) {
    EXPECT_NE(faults(own(more), "").find(says), std::string::npos) << more << ": " << faults(own(more), "");
  }
  EXPECT_NE(faults(kGood + "[watch]\non = 1\nfall = \"0s\"\n", "").find("watch.on"), std::string::npos);
  EXPECT_NE(faults(kGood + "[watch]\non = 1\nfall = \"0s\"\n", "").find("watch.fall"), std::string::npos);
  const std::string bad = faults(kGood, R"({"watch":{"on":"yes","weights":"heavy","senders":0,"rest":1}})");
  for (const char* name : {"watch.on", "watch.weights", "watch.senders", "watch.rest"})
    EXPECT_NE(bad.find(name), std::string::npos) << bad;
  EXPECT_NE(faults(kGood, R"({"settings":{"weightKind":"heavy"}})").find("weightKind"), std::string::npos);
}

TEST(Layers, TablesAreComparedByNameNotByPlace) {
  const auto shown = [](const std::string& text) {
    return node::MakeConfig({{true, "f", text}, {}, {}}).shown;
  };
  const std::string more = kGood + "[[classes]]\nname = \"extra\"\naim = \"1s\"\ndeadline = \"2s\"\n";
  std::string first = kGood;
  first.insert(first.find("[[classes]]"), "[[classes]]\nname = \"extra\"\naim = \"1s\"\ndeadline = \"2s\"\n");
  EXPECT_TRUE(Differences(shown(more), shown(first)).empty());
  for (const Difference& d : Differences(shown(kGood), shown(more)))
    EXPECT_EQ(d.change, Change::kRunning) << d.path;
  const auto effect = Differences(shown(kGood), shown(Edited("\"keyed\"\nkey_ttl = \"20s\"", "\"safe\"")));
  ASSERT_EQ(effect.size(), 2u);
  EXPECT_EQ(effect[0].path, "classes[notice].effect");
  EXPECT_EQ(effect[0].change, Change::kRunning);  // for messages born from then on
  const auto fee = Differences(shown(kGood), shown(Edited("fee = 0.5", "fee = 0.7")));
  ASSERT_EQ(fee.size(), 1u);
  EXPECT_EQ(fee[0].change, Change::kRestart);
}

TEST(Numbers, ClassesKeepTheirsWhileTheProcessLives) {
  const auto make = [](const std::string& classes) {
    return node::MakeConfig(
        {{true, "f",
          kGood.substr(0, kGood.find("[[classes]]")) + classes + kGood.substr(kGood.find("[[kinds]]"))},
         {},
         {}});
  };
  const auto table = [](const std::string& name, const std::string& aim) {
    return "[[classes]]\nname = \"" + name + "\"\naim = \"" + aim + "\"\ndeadline = \"1h\"\n";
  };
  const node::Config one = make(table("a", "1s") + table("b", "2s"));
  const node::Config two = node::WithRuntimeChanges(one, make(table("c", "3s") + table("b", "4s")));
  EXPECT_EQ(two.classes, (std::map<std::string, int>{{"b", 1}, {"c", 2}}));
  EXPECT_EQ(two.settings.classes.at(0).aim,
            std::chrono::seconds(1));  // what is held of it still needs its settings
  EXPECT_EQ(two.settings.classes.at(1).aim, std::chrono::seconds(4));
  const node::Config back = node::WithRuntimeChanges(two, make(table("a", "5s")));
  EXPECT_EQ(back.classes.at("a"),
            3);  // a name that comes back is a new class: its old number may still be held
}

}  // namespace
}  // namespace indigosaddle::config

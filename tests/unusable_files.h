// A built node that is told a new platform file by SIGHUP: what would come into force with it, and what
// does.
#pragma once

#include <string>

#include "page_settings.h"
#include "rule_changes.h"

namespace indigosaddle::testing {

class UnusableFiles : public RuleChanges {
 protected:
  using Json = nlohmann::json;

  UnusableFiles() {
    Json whole = PageSettings();
    whole["classes"] = node.config["settings"]["classes"];
    for (Json& one : whole["classes"]) one["stream"] = false;
    node.config["settings"] = whole;
    // As on the platform, which says this in the environment too.
    node.extra_variables = {"EDGE_NAME=n0", "EDGE_LISTEN=127.0.0.1:0",
                            "EDGE_DISCOVERY=" + platform.address()};
  }

  // Every part of the next file that may come into force differs from the one in force: the class may be
  // repeated and has twice the time, a class is new, attempts are fewer, and nobody listens at discovery's
  // address.
  Json LooserFile() const {
    Json next = node.config;
    Json& classes = next["settings"]["classes"];
    classes.back()["effect"] = "read_like";
    classes.back()["deadline"] = 2 * classes.back()["deadline"].get<double>();
    classes.push_back(classes.back());
    classes.back()["name"] = "added";
    next["settings"]["caps"]["attemptsCap"] = 5;
    int dead = 0;
    { Socket::Listen(dead); }
    next["discovery"] = "127.0.0.1:" + std::to_string(dead);
    return next;
  }

  // Replaces the file, sends SIGHUP and waits until the node has read it.
  void Tell(const std::string& text) {
    const std::size_t before = CountLines(" config.read ");
    node.WriteConfig(text);
    told_at_ = Clock::now();
    node.Signal(SIGHUP);
    ASSERT_TRUE(Eventually([&] { return CountLines(" config.read ") > before; }));
  }
  void Tell(const Json& file) { Tell(file.dump()); }
  // The instant that lies so long behind the last signal.
  void Until(milliseconds behind) const { std::this_thread::sleep_until(told_at_ + behind); }

  bool Said(const std::string& text) const { return node.log().find(text) != std::string::npos; }
  bool Known(const std::string& message_class) {
    const std::string id = message_class + std::to_string(++asked_);
    return !Enqueue(id, "c=" + message_class + ",d=8000,dest=99").starts_with("-ERR");
  }
  void ExpectTurnedDown() {
    EXPECT_TRUE(Said("config.read taken=0 refused=1")) << "the file was taken";
    EXPECT_FALSE(Known("added")) << "a class of the file is in force";
    EXPECT_FALSE(Said("class.rules_changed")) << "its rules are in force";
    EXPECT_FALSE(Said("list.moved")) << "its discovery is in force";
  }

 private:
  Clock::time_point told_at_;
  int asked_ = 0;
};

// Whole files, and what can't be used behind them.
class Usable : public UnusableFiles {
 protected:
  Json& Classes() { return node.config["settings"]["classes"]; }
  void TakenThenAnEmptyOne() {
    Tell(node.config);
    EXPECT_TRUE(Said("config.read taken=1 refused=0"));
    EXPECT_FALSE(Said("config.same")) << "nothing changed";
    Tell(std::string());
    EXPECT_TRUE(Said("config.read taken=1 refused=1"));
  }
};

}  // namespace indigosaddle::testing

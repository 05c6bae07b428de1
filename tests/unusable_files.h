// Fixtures of a built node that gets a new platform file by SIGHUP, which show whether any part of the file
// came into force.
#pragma once

#include <string>

#include "complete_settings.h"
#include "rule_changes.h"

namespace indigosaddle::testing {

// The node's first file holds every key that the platform's file may not lack.
class UnusableFiles : public RuleChanges {
 protected:
  using Json = nlohmann::json;

  UnusableFiles() {
    Json whole = CompleteSettings();
    whole["classes"] = node.config["settings"]["classes"];
    for (Json& message_class : whole["classes"]) message_class["stream"] = false;
    node.config["settings"] = whole;
    // As on the platform, which sets these in the environment too.
    node.extra_variables = {"EDGE_NAME=n0", "EDGE_LISTEN=127.0.0.1:0",
                            "EDGE_DISCOVERY=" + platform.address()};
  }

  // The next file. Every part that may come into force differs from the file in force: messages of the class
  // may be repeated and have twice the time, a class is new, fewer attempts are allowed, and nothing listens
  // at the address of discovery.
  Json LooserFile() const {
    Json next = node.config;
    Json& classes = next["settings"]["classes"];
    classes.back()["effect"] = "read_like";
    classes.back()["deadline"] = 2 * classes.back()["deadline"].get<double>();
    classes.push_back(classes.back());
    classes.back()["name"] = "added";
    next["settings"]["caps"]["attemptsCap"] = 5;
    int unused_port = 0;
    { Socket::Listen(unused_port); }
    next["discovery"] = "127.0.0.1:" + std::to_string(unused_port);
    return next;
  }

  // Replaces the file, sends SIGHUP and waits until the node has read it.
  void ReplaceFile(const std::string& text) {
    const std::size_t before = CountLines(" config.read ");
    node.WriteConfig(text);
    signal_at_ = Clock::now();
    node.Signal(SIGHUP);
    ASSERT_TRUE(Eventually([&] { return CountLines(" config.read ") > before; }));
  }
  void ReplaceFile(const Json& file) { ReplaceFile(file.dump()); }
  // Waits until `delay` after the last signal.
  void WaitUntilAfterSignal(milliseconds delay) const { std::this_thread::sleep_until(signal_at_ + delay); }

  bool Logged(const std::string& text) const { return node.log().find(text) != std::string::npos; }
  // Whether the node knows this class: it answers a message of an unknown class with an error.
  bool ClassKnown(const std::string& message_class) {
    const std::string id = message_class + std::to_string(++class_checks_);
    return !Enqueue(id, "c=" + message_class + ",d=8000,dest=99").starts_with("-ERR");
  }
  // The file was refused, and no part of it is in force.
  void ExpectRefused() {
    EXPECT_TRUE(Logged("config.read taken=0 refused=1")) << "the file was accepted";
    EXPECT_FALSE(ClassKnown("added")) << "a class of the file is in force";
    EXPECT_FALSE(Logged("class.rules_changed")) << "its rules are in force";
    EXPECT_FALSE(Logged("list.moved")) << "its discovery is in force";
  }

 private:
  Clock::time_point signal_at_;
  int class_checks_ = 0;
};

// Complete files, each followed by one that can't be used.
class UsableFiles : public UnusableFiles {
 protected:
  Json& Classes() { return node.config["settings"]["classes"]; }
  // Sends the changed file, which must be accepted, and an empty one, which must be refused.
  void ExpectAcceptedThenSendAnEmptyFile() {
    ReplaceFile(node.config);
    EXPECT_TRUE(Logged("config.read taken=1 refused=0"));
    EXPECT_FALSE(Logged("config.same")) << "nothing changed";
    ReplaceFile(std::string());
    EXPECT_TRUE(Logged("config.read taken=1 refused=1"));
  }
};

}  // namespace indigosaddle::testing

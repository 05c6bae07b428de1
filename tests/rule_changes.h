// Fixture of a built node whose classes change their rules while messages are pending, enqueued and enqueued
// again. Its endpoint reads each call whole and breaks the connection after the last byte, so that every call
// may have run.
#pragma once

#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;

// The rules of the class kClass change; at first its messages may not be repeated.
class RuleChanges : public NodeTest {
 protected:
  static constexpr const char* kClass = "notice";

  RuleChanges()
      : endpoint_([this](Socket&, const HttpRequest&, int) {
          std::this_thread::sleep_for(milliseconds(break_after_ms_));
          return false;
        }) {
    platform.Set(PlatformStandIn::Member("s-1", endpoint_.address(), 7));
    ListSettler();
    node.config["settings"]["classes"].push_back(node.config["settings"]["classes"][0]);
    Class()["name"] = kClass;
    Class()["deadline"] = 8000.0;
    SetEffect("non_idempotent");
  }

  // The class whose rules change, in the file that the node reads next.
  nlohmann::json& Class() { return node.config["settings"]["classes"].back(); }
  void SetEffect(const std::string& effect) { Class()["effect"] = effect; }

  // Starts the node and waits until it knows the list of endpoints.
  void StartNode() {
    ASSERT_TRUE(node.Start());
    Settle("first");
  }
  // Writes the file, sends SIGHUP and waits until the change is in force.
  void Reload() {
    const std::size_t before = RuleChangeCount();
    node.WriteConfig(node.config.dump());
    node.Signal(SIGHUP);
    ASSERT_TRUE(Eventually([&] { return RuleChangeCount() > before; }));
  }
  std::size_t RuleChangeCount() const { return CountLines("class.rules_changed"); }
  // How often `event` occurs in the log.
  std::size_t CountLines(const std::string& event) const {
    const std::string log = node.log();
    std::size_t count = 0;
    for (std::size_t at = log.find(event); at != std::string::npos; at = log.find(event, at + 1)) ++count;
    return count;
  }

  // Enqueues a message of the class with its remaining time in milliseconds and further fields of the
  // command. Returns the reply.
  std::string EnqueueInClass(const std::string& id, int remaining_ms = 8000, const std::string& fields = "") {
    return Enqueue(id,
                   std::string("c=") + kClass + ",d=" + std::to_string(remaining_ms) + ",dest=7" + fields);
  }
  // The message had one call, which may have run, and its client got a notice that it failed, which leaves
  // open whether it ran.
  void ExpectOneCallAndFailure(const std::string& id) {
    EXPECT_TRUE(Eventually([&] { return platform.notices().contains(id); })) << id << " has no notice";
    EXPECT_TRUE(HasNotice(id, "failed")) << id << " was returned though it may have run";
    EXPECT_EQ(endpoint_.CallsFor(id), 1) << id << " was sent again though it may have run";
  }
  // The message was called more than once.
  void ExpectRepeated(const std::string& id) {
    EXPECT_TRUE(Eventually([&] { return endpoint_.CallsFor(id) > 1; })) << id << " was not sent again";
  }

  std::atomic<int> break_after_ms_{0};  // milliseconds after the last byte of a call
  EndpointStandIn endpoint_;
};

}  // namespace indigosaddle::testing

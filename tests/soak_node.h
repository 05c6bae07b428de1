// One node of a soak over all its processes: signals as the platform sends them, and files that change.
#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "soak_faults.h"
#include "soak_rules.h"

namespace indigosaddle::testing {

// The platform's planned restart: SIGKILL so long behind SIGTERM, the next start so long behind that.
constexpr milliseconds kKillAfter(3700), kStartAfter(600);
constexpr milliseconds kNoticeSlack(300), kAfterReady(1500);
constexpr double kClassDeadline = 5000;

class SoakNode {
 public:
  SoakNode(PlatformStandIn& platform, int number, int senders, std::uint64_t seed)
      : process_(platform.address()), changer_(seed) {
    process_.config["name"] = "n" + std::to_string(number);
    process_.config["settings"]["balancers"] = senders;
    auto& classes = process_.config["settings"]["classes"];
    classes.push_back(classes[0]);
    classes.back()["name"] = kShiftingClass;
    classes.back()["effect"] = "non_idempotent";
    for (auto& one : classes) one["deadline"] = kClassDeadline;
  }
  void Start() {
    timeline_.Set(Clock::now(), process_.config["settings"]["classes"]);
    if (!process_.Start()) {
      ADD_FAILURE() << "it does not start";
      return;
    }
    view.port = process_.port;
    if (!restarts_.empty()) restarts_.back().to = Clock::now();
  }
  void Kill() {
    if (restarts_.empty() || restarts_.back().to != Clock::time_point())
      restarts_.push_back({Clock::now(), {}});
    ++view.kills;
    view.port = 0;
    process_.Kill(SIGKILL);
    ++view.kills;  // what was asked meanwhile met the kill as well
  }
  // From now on calls to the system may fail under its processes.
  void UseFaults(std::uint64_t seed) {
    faults_.emplace(seed, process_.folder);
    process_.extra_variables = faults_->Variables();
  }
  SoakFaults& faults() { return *faults_; }
  // Dies by itself within a write; the half of it is what the next process finds.
  void DieWithinAWrite() {
    restarts_.push_back({Clock::now(), {}});
    ++view.kills;
    faults_->KillWithinAWrite();
    EXPECT_EQ(process_.Wait(), -SIGKILL);
    view.port = 0;
    ++view.kills;
    faults_->Over();
    std::this_thread::sleep_for(kStartAfter);
    Start();
  }
  // SIGTERM; clients go on with what is open; the kill comes at the earliest that the platform allows.
  void Replace(bool twice) {
    restarts_.push_back({Clock::now(), {}});
    process_.Signal(SIGTERM);
    if (twice) process_.Signal(SIGTERM);
    const auto kill_at = Clock::now() + kKillAfter;
    while (Clock::now() < kill_at && !process_.Ended()) std::this_thread::sleep_for(milliseconds(2));
    if (process_.Ended()) {
      EXPECT_EQ(process_.Wait(), 0) << "it ended badly";
    }
    Kill();
    std::this_thread::sleep_for(kStartAfter);
    Start();
  }
  void Signal(int number) { process_.Signal(number); }

  // A new file and SIGHUP; back once the node has read it.
  void ChangeSettings() {
    changer_.Change(process_.config);
    timeline_.Set(Clock::now(), process_.config["settings"]["classes"]);
    Reload(process_.config.dump());
  }
  // A file that can't be used: the node goes on as it was. The next start finds a good one.
  void BreakFile() { Reload(changer_.Broken(process_.config)); }
  // A new file without a signal, for the next start.
  void ChangeFileOnly() { changer_.Change(process_.config); }

  bool Ended() { return process_.Ended(); }
  // No notice is overdue from the signal of a restart until some time after it is ready again.
  bool Excused(Clock::time_point due) const {
    return std::any_of(restarts_.begin(), restarts_.end(), [&](const Span& span) {
      return due + kNoticeSlack >= span.from &&
             (span.to == Clock::time_point() || due < span.to + kAfterReady);
    });
  }
  const RuleTimeline& timeline() const { return timeline_; }

  SoakClient::NodeView view;

 private:
  struct Span {
    Clock::time_point from, to;
  };

  void Reload(const std::string& text) {
    const std::size_t before = Reloads();
    process_.WriteConfig(text);
    process_.Signal(SIGHUP);
    const auto end = Clock::now() + seconds(20);
    while (Reloads() == before && Clock::now() < end) std::this_thread::sleep_for(milliseconds(5));
    EXPECT_GT(Reloads(), before) << "it did not read its file";
  }
  // Each SIGHUP is logged, whatever it brings.
  std::size_t Reloads() const {
    const std::string log = process_.log();
    std::size_t count = 0;
    for (std::size_t at = log.find(" config.read "); at != std::string::npos;
         at = log.find(" config.read ", at + 1))
      ++count;
    return count;
  }

  NodeProcess process_;
  SettingsChanger changer_;
  RuleTimeline timeline_;
  std::optional<SoakFaults> faults_;
  std::vector<Span> restarts_;
};

}  // namespace indigosaddle::testing

// One node of a soak over all its processes: signals as the platform sends them, and files that change.
#pragma once

#include <csignal>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "soak_client.h"
#include "soak_faults.h"
#include "soak_files.h"

namespace indigosaddle::testing {

// The platform's planned restart: SIGKILL so long behind SIGTERM, the next start so long behind that.
constexpr milliseconds kKillAfter(3700), kStartAfter(600);
constexpr milliseconds kNoticeSlack(300), kAfterReady(1500);
constexpr double kClassDeadline = 5000;

class SoakNode {
 public:
  SoakNode(PlatformStandIn& platform, int number, int senders, std::uint64_t seed)
      : process_(platform.address()), changer_(seed), breaker_(seed + 1) {
    process_.config["name"] = "n" + std::to_string(number);
    process_.config["settings"]["balancers"] = senders;
    auto& classes = process_.config["settings"]["classes"];
    classes.push_back(classes[0]);
    classes.back()["name"] = kShiftingClass;
    classes.back()["effect"] = "non_idempotent";
    for (auto& one : classes) one["deadline"] = kClassDeadline;
    on_disk_ = Good();
  }
  void Start() {
    // Where the folder took no writes for a while, what was in force may be kept nowhere.
    if (faults_ && !on_disk_.good) on_disk_ = Good();
    process_.raw_config = on_disk_.text;
    if (in_force_.OnStart(on_disk_)) timeline_.Set(Clock::now(), in_force_.classes());
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
    EXPECT_TRUE(process_.Ended()) << "alive at the earliest kill";
    if (process_.Ended()) {
      EXPECT_EQ(process_.Wait(), 0) << "it ended badly";
    }
    view.port = 0;
    process_.Kill(SIGKILL);
    std::this_thread::sleep_for(kStartAfter);
    Start();
  }
  void Signal(int number) { process_.Signal(number); }

  // A new file and SIGHUP; back once the node has read it.
  void ChangeSettings() {
    changer_.Change(process_.config);
    Write(Good());
    Hangup();
  }
  // A file that can't be used: the node goes on as it was, also over a restart.
  void BreakFile() {
    Write(breaker_.Break(process_.config));
    Hangup();
  }
  // A new file without a signal, for the next start or SIGHUP.
  void ChangeFileOnly() {
    changer_.Change(process_.config);
    Write(Good());
  }
  void BreakFileOnly() { Write(breaker_.Break(process_.config)); }
  // SIGHUP; back once the node has read its file.
  void Hangup() {
    const Reading before = LastReading();
    process_.Signal(SIGHUP);
    Expect(before, 1);
  }
  // Several in a row; the system may tell some of them as one.
  void Hangups(int count, milliseconds pause) {
    const Reading before = LastReading();
    for (int i = 0; i < count; ++i) process_.Signal(SIGHUP), std::this_thread::sleep_for(pause);
    Expect(before, count);
  }
  // A broken file that a good one replaces between two signals in a row: either may be read at the first.
  void ReplaceBetweenHangups() {
    const Reading before = LastReading();
    process_.WriteConfig(breaker_.Break(process_.config).text);
    process_.Signal(SIGHUP);
    changer_.Change(process_.config);
    Write(Good());
    process_.Signal(SIGHUP);
    const Reading now = Settled(before);
    EXPECT_GE(now.taken, before.taken + 1) << "the good file was not taken";
    EXPECT_LE(now.count, before.count + 2);
    if (in_force_.OnSignal(on_disk_)) timeline_.Set(Clock::now(), in_force_.classes());
    in_force_.Recount(now.taken, now.refused);
  }

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

  // What the node's log says of its files: each SIGHUP is one line, whatever it brings.
  struct Reading {
    int count = 0, taken = 0, refused = 0;
  };

  DrawnFile Good() const { return {process_.config.dump(), true, process_.config, "good"}; }
  void Write(DrawnFile file) {
    on_disk_ = std::move(file);
    process_.WriteConfig(on_disk_.text);
  }

  // The file was read once at least, `most` times at most, and judged as the page has it each time.
  void Expect(const Reading& before, int most) {
    if (in_force_.OnSignal(on_disk_)) timeline_.Set(Clock::now(), in_force_.classes());
    const Reading now = Settled(before);
    const int seen = now.count - before.count;
    EXPECT_GE(seen, 1) << "it did not read its file";
    EXPECT_LE(seen, most);
    in_force_.OnSeveral(on_disk_, seen);
    EXPECT_EQ(now.taken, in_force_.taken()) << "config_reloads, file: " << on_disk_.about;
    EXPECT_EQ(now.refused, in_force_.refused()) << "config_reload_errors, file: " << on_disk_.about;
  }
  // Once it has read what it was told of, and no more comes.
  Reading Settled(const Reading& before) const {
    const auto end = Clock::now() + seconds(20);
    Reading now = LastReading();
    while (now.count == before.count && Clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(5));
      now = LastReading();
    }
    std::this_thread::sleep_for(milliseconds(100));
    return LastReading();
  }
  Reading LastReading() const {
    const std::string log = process_.log();
    const std::string mark = " config.read taken=";
    Reading reading;
    for (std::size_t at = log.find(mark); at != std::string::npos; at = log.find(mark, at + 1)) {
      if (std::sscanf(log.c_str() + at, " config.read taken=%d refused=%d", &reading.taken,
                      &reading.refused) == 2)
        ++reading.count;
    }
    return reading;
  }

  NodeProcess process_;
  SettingsChanger changer_;
  FileBreaker breaker_;
  FilesInForce in_force_;
  DrawnFile on_disk_;
  RuleTimeline timeline_;
  std::optional<SoakFaults> faults_;
  std::vector<Span> restarts_;
};

}  // namespace indigosaddle::testing

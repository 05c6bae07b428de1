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
constexpr milliseconds kKillDelay(3700), kStartDelay(600);
constexpr milliseconds kNoticeTolerance(300), kGraceAfterReady(1500);
constexpr double kClassDeadlineMillis = 5000;

class SoakNode {
 public:
  SoakNode(PlatformStandIn& platform, int number, int sender_count, std::uint64_t seed)
      : process_(platform.address()), settings_changer_(seed), file_corrupter_(seed + 1) {
    process_.config["name"] = "n" + std::to_string(number);
    process_.config["settings"]["balancers"] = sender_count;
    auto& classes = process_.config["settings"]["classes"];
    classes.push_back(classes[0]);
    classes.back()["name"] = kChangingClass;
    classes.back()["effect"] = "non_idempotent";
    for (auto& class_settings : classes) class_settings["deadline"] = kClassDeadlineMillis;
    file_on_disk_ = ValidFile();
  }
  void Start() {
    // Where the folder took no writes for a while, what was in force may be kept nowhere.
    if (faults_ && !file_on_disk_.valid) file_on_disk_ = ValidFile();
    process_.raw_config = file_on_disk_.text;
    if (active_config_.OnStart(file_on_disk_)) timeline_.Add(Clock::now(), active_config_.classes());
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
    ++view.kill_counter;
    view.port = 0;
    process_.Kill(SIGKILL);
    ++view.kill_counter;  // what was asked meanwhile met the kill as well
  }
  // From now on calls to the system may fail under its processes.
  void UseFaults(std::uint64_t seed) {
    faults_.emplace(seed, process_.folder);
    process_.extra_variables = faults_->Variables();
  }
  SoakFaults& faults() { return *faults_; }
  // Dies by itself within a write; the half of it is what the next process finds.
  void CrashDuringWrite() {
    restarts_.push_back({Clock::now(), {}});
    ++view.kill_counter;
    faults_->KillDuringNextWrite();
    EXPECT_EQ(process_.Wait(), -SIGKILL);
    view.port = 0;
    ++view.kill_counter;
    faults_->CancelKill();
    std::this_thread::sleep_for(kStartDelay);
    Start();
  }
  // SIGTERM; clients go on with what is open; the kill comes at the earliest that the platform allows.
  void Restart(bool signal_twice) {
    restarts_.push_back({Clock::now(), {}});
    process_.Signal(SIGTERM);
    if (signal_twice) process_.Signal(SIGTERM);
    const auto kill_at = Clock::now() + kKillDelay;
    while (Clock::now() < kill_at && !process_.Ended()) std::this_thread::sleep_for(milliseconds(2));
    EXPECT_TRUE(process_.Ended()) << "alive at the earliest kill";
    if (process_.Ended()) {
      EXPECT_EQ(process_.Wait(), 0) << "it ended badly";
    }
    view.port = 0;
    process_.Kill(SIGKILL);
    std::this_thread::sleep_for(kStartDelay);
    Start();
  }
  void Signal(int number) { process_.Signal(number); }

  // A new file and SIGHUP; back once the node has read it.
  void ReloadChangedFile() {
    settings_changer_.Change(process_.config);
    Write(ValidFile());
    Hangup();
  }
  // A file that can't be used: the node goes on as it was, also over a restart.
  void ReloadCorruptFile() {
    Write(file_corrupter_.Corrupt(process_.config));
    Hangup();
  }
  // A new file without a signal, for the next start or SIGHUP.
  void WriteChangedFile() {
    settings_changer_.Change(process_.config);
    Write(ValidFile());
  }
  void WriteCorruptFile() { Write(file_corrupter_.Corrupt(process_.config)); }
  // SIGHUP; back once the node has read its file.
  void Hangup() {
    const ReloadCounts before = CurrentReloadCounts();
    process_.Signal(SIGHUP);
    ExpectReloads(before, 1);
  }
  // Several in a row; the system may tell some of them as one.
  void Hangups(int signals, milliseconds pause) {
    const ReloadCounts before = CurrentReloadCounts();
    for (int i = 0; i < signals; ++i) process_.Signal(SIGHUP), std::this_thread::sleep_for(pause);
    ExpectReloads(before, signals);
  }
  // A broken file that a good one replaces between two signals in a row: either may be read at the first.
  void ReplaceCorruptFileBetweenHangups() {
    const ReloadCounts before = CurrentReloadCounts();
    process_.WriteConfig(file_corrupter_.Corrupt(process_.config).text);
    process_.Signal(SIGHUP);
    settings_changer_.Change(process_.config);
    Write(ValidFile());
    process_.Signal(SIGHUP);
    const ReloadCounts now = AwaitReloads(before);
    EXPECT_GE(now.accepted, before.accepted + 1) << "the good file was not taken";
    EXPECT_LE(now.reloads, before.reloads + 2);
    if (active_config_.OnReload(file_on_disk_)) timeline_.Add(Clock::now(), active_config_.classes());
    active_config_.SetCounts(now.accepted, now.rejected);
  }

  bool Ended() { return process_.Ended(); }
  // No notice is overdue from the signal of a restart until some time after it is ready again.
  bool InRestartGracePeriod(Clock::time_point deadline) const {
    return std::any_of(restarts_.begin(), restarts_.end(), [&](const RestartPeriod& period) {
      return deadline + kNoticeTolerance >= period.from &&
             (period.to == Clock::time_point() || deadline < period.to + kGraceAfterReady);
    });
  }
  const RuleTimeline& timeline() const { return timeline_; }

  SoakClient::NodeView view;

 private:
  struct RestartPeriod {
    Clock::time_point from, to;
  };

  // What the node's log says of its files: each SIGHUP is one line, whatever it brings.
  struct ReloadCounts {
    int reloads = 0, accepted = 0, rejected = 0;
  };

  GeneratedFile ValidFile() const { return {process_.config.dump(), true, process_.config, "good"}; }
  void Write(GeneratedFile file) {
    file_on_disk_ = std::move(file);
    process_.WriteConfig(file_on_disk_.text);
  }

  // The file was read once at least, `most` times at most, and judged as the page has it each time.
  void ExpectReloads(const ReloadCounts& before, int max_reloads) {
    if (active_config_.OnReload(file_on_disk_)) timeline_.Add(Clock::now(), active_config_.classes());
    const ReloadCounts now = AwaitReloads(before);
    const int new_reloads = now.reloads - before.reloads;
    EXPECT_GE(new_reloads, 1) << "it did not read its file";
    EXPECT_LE(new_reloads, max_reloads);
    active_config_.OnCoalescedReloads(file_on_disk_, new_reloads);
    EXPECT_EQ(now.accepted, active_config_.accepted())
        << "config_reloads, file: " << file_on_disk_.description;
    EXPECT_EQ(now.rejected, active_config_.rejected())
        << "config_reload_errors, file: " << file_on_disk_.description;
  }
  // Once it has read what it was told of, and no more comes.
  ReloadCounts AwaitReloads(const ReloadCounts& before) const {
    const auto deadline = Clock::now() + seconds(20);
    ReloadCounts now = CurrentReloadCounts();
    while (now.reloads == before.reloads && Clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
      now = CurrentReloadCounts();
    }
    std::this_thread::sleep_for(milliseconds(100));
    return CurrentReloadCounts();
  }
  ReloadCounts CurrentReloadCounts() const {
    const std::string log = process_.log();
    const std::string log_marker = " config.read taken=";
    ReloadCounts counts;
    for (std::size_t position = log.find(log_marker); position != std::string::npos;
         position = log.find(log_marker, position + 1)) {
      if (std::sscanf(log.c_str() + position, " config.read taken=%d refused=%d", &counts.accepted,
                      &counts.rejected) == 2)
        ++counts.reloads;
    }
    return counts;
  }

  NodeProcess process_;
  SettingsChanger settings_changer_;
  FileCorrupter file_corrupter_;
  ActiveConfigModel active_config_;
  GeneratedFile file_on_disk_;
  RuleTimeline timeline_;
  std::optional<SoakFaults> faults_;
  std::vector<RestartPeriod> restarts_;
};

}  // namespace indigosaddle::testing

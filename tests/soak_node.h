// One node of a soak test with all its processes: signals as the platform sends them, and configuration
// changes.
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

// Delays of the platform's planned restart: from SIGTERM to SIGKILL, and from there to the next start.
constexpr milliseconds kKillDelay(3700), kStartDelay(600);
// How late a notice may arrive: normally, and after a node is ready again.
constexpr milliseconds kNoticeTolerance(300), kGraceAfterReady(1500);
constexpr double kClassDeadlineMillis = 5000;

// Owns the node's processes, its configuration file and the model of what is active. `platform` must outlive
// it.
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
    // If writes to the folder failed for a while, the active configuration may not have been stored.
    if (faults_ && !file_on_disk_.valid) file_on_disk_ = ValidFile();
    process_.raw_config = file_on_disk_.text;
    if (active_config_.OnStart(file_on_disk_)) timeline_.Add(Clock::now(), active_config_.classes());
    if (!process_.Start()) {
      ADD_FAILURE() << "the node does not start";
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
    ++view.kill_counter;  // requests sent meanwhile are affected by the kill too
  }
  // Lets system calls fail in the processes that are started from now on.
  void UseFaults(std::uint64_t seed) {
    faults_.emplace(seed, process_.folder);
    process_.extra_variables = faults_->Variables();
  }
  SoakFaults& faults() { return *faults_; }
  // The process is killed in the middle of a write, so that its successor finds a truncated record.
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
  // Planned restart: SIGTERM, then SIGKILL at the earliest time that the platform allows, then a new process.
  // Clients keep using open connections meanwhile.
  void Restart(bool signal_twice) {
    restarts_.push_back({Clock::now(), {}});
    process_.Signal(SIGTERM);
    if (signal_twice) process_.Signal(SIGTERM);
    const auto kill_at = Clock::now() + kKillDelay;
    while (Clock::now() < kill_at && !process_.Ended()) std::this_thread::sleep_for(milliseconds(2));
    EXPECT_TRUE(process_.Ended()) << "still running at the earliest SIGKILL";
    if (process_.Ended()) {
      EXPECT_EQ(process_.Wait(), 0) << "the process ended with an error";
    }
    view.port = 0;
    process_.Kill(SIGKILL);
    std::this_thread::sleep_for(kStartDelay);
    Start();
  }
  void Signal(int number) { process_.Signal(number); }

  // Writes a new valid file and sends SIGHUP. Returns once the node has read the file.
  void ReloadChangedFile() {
    settings_changer_.Change(process_.config);
    Write(ValidFile());
    Hangup();
  }
  // Writes an unusable file and sends SIGHUP. The node must keep its configuration, also over a restart.
  void ReloadCorruptFile() {
    Write(file_corrupter_.Corrupt(process_.config));
    Hangup();
  }
  // Writes a new file without a signal; the node reads it at its next start or SIGHUP.
  void WriteChangedFile() {
    settings_changer_.Change(process_.config);
    Write(ValidFile());
  }
  void WriteCorruptFile() { Write(file_corrupter_.Corrupt(process_.config)); }
  // Sends SIGHUP. Returns once the node has read its file.
  void Hangup() {
    const ReloadCounts before = CurrentReloadCounts();
    process_.Signal(SIGHUP);
    ExpectReloads(before, 1);
  }
  // Sends several SIGHUPs; the system may merge some of them.
  void Hangups(int signals, milliseconds pause) {
    const ReloadCounts before = CurrentReloadCounts();
    for (int i = 0; i < signals; ++i) {
      process_.Signal(SIGHUP);
      std::this_thread::sleep_for(pause);
    }
    ExpectReloads(before, signals);
  }
  // Replaces a corrupt file by a valid one between two SIGHUPs. At the first signal the node may read either.
  void ReplaceCorruptFileBetweenHangups() {
    const ReloadCounts before = CurrentReloadCounts();
    process_.WriteConfig(file_corrupter_.Corrupt(process_.config).text);
    process_.Signal(SIGHUP);
    settings_changer_.Change(process_.config);
    Write(ValidFile());
    process_.Signal(SIGHUP);
    const ReloadCounts now = AwaitReloads(before);
    EXPECT_GE(now.accepted, before.accepted + 1) << "the valid file was not accepted";
    EXPECT_LE(now.reloads, before.reloads + 2);
    if (active_config_.OnReload(file_on_disk_)) timeline_.Add(Clock::now(), active_config_.classes());
    active_config_.SetCounts(now.accepted, now.rejected);
  }

  bool Ended() { return process_.Ended(); }
  // Whether a notice due at `deadline` may be late: from the signal of a restart until kGraceAfterReady after
  // the node is ready again.
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

  // The node's reloads according to its log, which has one line for each, accepted or rejected.
  struct ReloadCounts {
    int reloads = 0, accepted = 0, rejected = 0;
  };

  GeneratedFile ValidFile() const { return {process_.config.dump(), true, process_.config, "good"}; }
  void Write(GeneratedFile file) {
    file_on_disk_ = std::move(file);
    process_.WriteConfig(file_on_disk_.text);
  }

  // Checks that the file was read between once and `max_reloads` times, and each time accepted or rejected as
  // specified.
  void ExpectReloads(const ReloadCounts& before, int max_reloads) {
    if (active_config_.OnReload(file_on_disk_)) timeline_.Add(Clock::now(), active_config_.classes());
    const ReloadCounts now = AwaitReloads(before);
    const int new_reloads = now.reloads - before.reloads;
    EXPECT_GE(new_reloads, 1) << "the node did not read its file";
    EXPECT_LE(new_reloads, max_reloads);
    active_config_.OnCoalescedReloads(file_on_disk_, new_reloads);
    EXPECT_EQ(now.accepted, active_config_.accepted())
        << "config_reloads, file: " << file_on_disk_.description;
    EXPECT_EQ(now.rejected, active_config_.rejected())
        << "config_reload_errors, file: " << file_on_disk_.description;
  }
  // Waits until the node has read its file, and 100 ms for further reloads.
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

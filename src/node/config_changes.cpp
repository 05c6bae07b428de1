#include "node/config_changes.h"

#include <fmt/format.h>

#include <utility>

#include "base/log_events.h"
#include "node/resource_shares.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

// From the start of a process to the second trial of a change whose trial the process before it did not end.
constexpr Micros kResumeAfter = std::chrono::seconds(60);

config::TransactionRules TransactionRulesOf(const Config& config) {
  return {config.guard_rules.trial, std::min<Micros>(kResumeAfter, config.guard_rules.trial)};
}

}  // namespace

ConfigChanges::ConfigChanges(net::Loop& loop, Owner& owner, StartupConfig startup, base::Log& log)
    : loop_(loop),
      owner_(owner),
      log_(log),
      sources_(std::move(startup.sources)),
      last_good_(startup.config.state_folder),
      operators_path_(std::move(startup.operators_path)),
      step_(startup.step ? std::move(startup.step) : [](const char*) {}),
      transactions_(TransactionRulesOf(startup.config)),
      guard_(startup.config.guard_rules),
      start_history_(std::move(startup.history)),
      start_error_(std::move(startup.load_errors)),
      transaction_timer_(loop, [this] { HandleEvent(config::TimerFired{loop_.Now()}); }),
      guard_timer_(loop, [this] { CheckGuard(); }) {
  if (sources_.operators_file.given) {
    store_ = std::make_unique<config::Store>(startup.config.state_folder, startup.config.disk_bytes, step_);
  }
}

void ConfigChanges::Start() {
  if (!start_error_.empty()) log_.Write(base::kConfigUnusable, start_error_);
  if (sources_.platform.given)
    log_.Write(base::kPlatformDocumentAtStart, PlatformDocumentHash(), sources_.platform.name);
  SaveLastGood();
  if (store_ == nullptr) return;
  log_.Write(base::kConfigGenerationAtStart, start_history_.kept, sources_.operators_file.name);
  HandleEvent(config::Started{std::move(start_history_), loop_.Now()});
}

void ConfigChanges::SaveLastGood() {
  if (sources_.platform.given) last_good_.Save(sources_.platform.text, MaxLastGoodBytes(owner_.running()));
}

void ConfigChanges::Stop() { HandleEvent(config::StopRequested{}); }

void ConfigChanges::Freeze() {
  transaction_timer_.Stop();
  guard_timer_.Stop();
  discovery_on_trial_.clear();  // nothing is rolled back because of it any more
}

// ---- Reload -----------------------------------------------------------------------------------------------

void ConfigChanges::Reload() {
  ReloadFiles();
  log_.Write(base::kConfigReloaded, reloads_, reload_errors_, PlatformDocumentHash());
}

void ConfigChanges::ReloadFiles() {
  config::Sources next;
  try {
    next = ReadSources(EdgeEnvironment(), operators_path_);
  } catch (const ConfigError& error) {
    return RejectReload(error);
  }
  // The platform's document is applied first, with the operator's document that is in force. It states facts
  // and gets no trial: rolling it back would leave the node at an address that no longer exists.
  const std::string file = std::exchange(next.operators_file.text, sources_.operators_file.text);
  const std::string name = std::exchange(next.operators_file.name, sources_.operators_file.name);
  next.platform_in_force = sources_.platform;
  bool changed = false;
  try {
    const Config read = MakeConfig(next);
    for (const std::string& path : PathsNeedingRestart(owner_.running(), read))
      log_.Write(base::kConfigNeedsRestart, path);
    Config adopted = WithRuntimeChanges(owner_.running(), read);
    changed = adopted.shown != owner_.running().shown;
    sources_.platform = next.platform;
    SaveLastGood();
    ++reloads_;
    if (changed) owner_.ApplyConfig(std::move(adopted));
  } catch (const ConfigError& error) {
    return RejectReload(error);  // a change of the operator's file in the same reload is not applied either
  }
  if (store_ != nullptr && config::HashHex(file) != transactions_.history().seen_file) {
    config::Proposal proposal;
    proposal.author = "SIGHUP";
    proposal.reason = "the file " + name + " changed";
    proposal.document = file;
    proposal.file_hash = config::HashHex(file);
    HandleEvent(config::Proposed{Validated(std::move(proposal)), loop_.Now()});
  } else if (!changed) {
    log_.Write(base::kConfigUnchanged, owner_.running().discovery);
  }
}

void ConfigChanges::RejectReload(const ConfigError& error) {
  ++reload_errors_;
  last_reload_error_ = error.what();
  log_.Write(base::kConfigUnusable, last_reload_error_);
}

std::string ConfigChanges::PlatformDocumentHash() const {
  return sources_.platform.given ? config::HashHex(sources_.platform.text) : "";
}

// ---- Effects ----------------------------------------------------------------------------------------------

void ConfigChanges::HandleEvent(config::TransactionEvent event) {
  events_.push_back(std::move(event));
  if (handling_events_) return;
  handling_events_ = true;
  while (!events_.empty()) {
    const config::TransactionEvent next = std::move(events_.front());
    events_.pop_front();
    config::TransactionEffects effects;
    transactions_.On(next, effects);
    for (const config::TransactionEffect& effect : effects) {
      std::visit([this](const auto& e) { CarryOut(e); }, effect);
    }
  }
  handling_events_ = false;
}

void ConfigChanges::CarryOut(const config::Save&) {
  std::string error;
  const bool ok = store_ == nullptr || store_->Save(transactions_.history(), error);
  if (!ok) log_.Write(base::kConfigStoreFailed, error);
  events_.emplace_back(config::Saved{ok});
}

void ConfigChanges::CarryOut(const config::Apply& apply) {
  step_(apply.undo ? "config.undo" : "config.staged");
  std::vector<std::string> faults;
  auto next = Validate(apply.document, faults, apply.undo);
  std::string error;
  if (next) {
    sources_.operators_file.text = apply.document;
    sources_.operators_file.name = fmt::format("generation {}", apply.number);
    // The trial begins before the change is adopted: what the change causes in its first turn, such as load
    // shedding, is part of the trial.
    if (!apply.undo) guard_.Begin(loop_.Now());
    const bool moves_discovery = !apply.undo && next->discovery != owner_.running().discovery;
    discovery_on_trial_ = moves_discovery ? next->discovery : std::string();
    owner_.ApplyConfig(WithRuntimeChanges(owner_.running(), *next));
  } else {
    for (const std::string& fault : faults) error += (error.empty() ? "" : "; ") + fault;
    // A rollback is not expected to fail, as the kept generation was valid when it came into force.
    if (apply.undo) log_.Write(base::kConfigUnusable, error);
  }
  step_(apply.undo ? "config.undone" : "config.applied");
  events_.emplace_back(config::Applied{error});
}

void ConfigChanges::CarryOut(const config::Recheck& check) {
  events_.emplace_back(config::Rechecked{Validated(check.proposal), loop_.Now()});
}

void ConfigChanges::CarryOut(const config::BeginTrial&) {
  guard_timer_.Start(owner_.running().guard_rules.trial / config::Guard::kMaxLooks);
}

void ConfigChanges::CarryOut(const config::EndTrial&) {
  guard_timer_.Stop();
  step_("config.keep");
  const std::string discovery_fault = DiscoveryFaultOfTrial();
  const config::Assessment last = guard_.End(loop_.Now());
  const bool regression = last.verdict == config::Verdict::kRegression || !discovery_fault.empty();
  events_.emplace_back(
      config::GuardReported{regression, true, discovery_fault.empty() ? last.reason : discovery_fault});
}

void ConfigChanges::OnListOutdatedByMove() {
  if (const std::string fault = DiscoveryFaultOfTrial(); !fault.empty())
    HandleEvent(config::GuardReported{true, false, fault});
}

std::string ConfigChanges::DiscoveryFaultOfTrial() const {
  const bool set_by_trial = guard_.in_trial() && owner_.running().discovery == discovery_on_trial_;
  return set_by_trial ? owner_.DiscoveryMoveFault() : std::string();
}

void ConfigChanges::CarryOut(const config::CancelTrial&) {
  guard_timer_.Stop();
  guard_.Cancel();
}

void ConfigChanges::CheckGuard() {
  const config::Assessment now = guard_.Look(loop_.Now());
  if (now.verdict == config::Verdict::kRegression)
    return HandleEvent(config::GuardReported{true, false, now.reason});
  if (guard_.in_trial()) guard_timer_.Start(owner_.running().guard_rules.trial / config::Guard::kMaxLooks);
}

void ConfigChanges::CarryOut(const config::ArmTimer& timer) {
  transaction_timer_.Start(std::max(Micros(0), timer.at - loop_.Now()));
}

void ConfigChanges::CarryOut(const config::Answer& answer) {
  const auto node = pending_answers_.extract(answer.ticket);
  if (!node.empty()) node.mapped()({{"ok", answer.ok}, {"generation", answer.number}, {"text", answer.text}});
}

void ConfigChanges::CarryOut(const config::WriteLog& entry) {
  using enum config::LogKind;
  // The rules for trials come from the configuration that is now in force, also if it is on trial itself. A
  // guard whose trial is under way keeps the rules that the trial began with.
  transactions_.SetRules(TransactionRulesOf(owner_.running()));
  guard_.SetRules(owner_.running().guard_rules);
  switch (entry.kind) {
    case kRefused: return log_.Write(base::kConfigRefused, entry.author, entry.text);
    case kOnTrial:
      return log_.Write(base::kConfigOnTrial, entry.number, entry.author, entry.text,
                        owner_.running().guard_rules.trial);
    case kKept: step_("config.kept"); return log_.Write(base::kConfigAccepted, entry.number, entry.text);
    case kUndone: return log_.Write(base::kConfigRolledBack, entry.number, entry.back_to, entry.text);
    case kInterrupted: return log_.Write(base::kConfigTrialInterrupted, entry.number, entry.text);
    case kStoreFailed: return;  // logged when the store failed
  }
}

}  // namespace indigosaddle::node

#include "node/changes.h"

#include <fmt/format.h>

#include <utility>

#include "base/log_events.h"
#include "node/shares.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

constexpr Micros kResumeAfter = std::chrono::seconds(60);

config::TransactionRules RulesOf(const Config& config) {
  return {config.change.trial, std::min<Micros>(kResumeAfter, config.change.trial)};
}

}  // namespace

Changes::Changes(net::Loop& loop, Owner& owner, Beginning beginning, base::Log& log)
    : loop_(loop),
      owner_(owner),
      log_(log),
      sources_(std::move(beginning.sources)),
      last_good_(beginning.config.state_folder),
      operators_path_(std::move(beginning.operators_path)),
      step_(beginning.step ? std::move(beginning.step) : [](const char*) {}),
      transactions_(RulesOf(beginning.config)),
      guard_(beginning.config.change),
      first_history_(std::move(beginning.history)),
      first_trouble_(std::move(beginning.trouble)),
      due_(loop, [this] { Feed(config::Due{loop_.Now()}); }),
      look_(loop, [this] { Look(); }) {
  if (sources_.operators.given) {
    store_ =
        std::make_unique<config::Store>(beginning.config.state_folder, beginning.config.disk_bytes, step_);
  }
}

void Changes::Start() {
  if (!first_trouble_.empty()) log_.Write(base::kConfigUnusable, first_trouble_);
  if (sources_.platform.given)
    log_.Write(base::kPlatformDocumentAtStart, DocumentInForce(), sources_.platform.name);
  KeepLastGood();
  if (store_ == nullptr) return;
  log_.Write(base::kConfigGenerationAtStart, first_history_.kept, sources_.operators.name);
  Feed(config::Started{std::move(first_history_), loop_.Now()});
}

void Changes::KeepLastGood() {
  if (sources_.platform.given) last_good_.Keep(sources_.platform.text, MostLastGood(owner_.running()));
}

void Changes::Stop() { Feed(config::StopAsked{}); }

void Changes::Freeze() { due_.Stop(), look_.Stop(); }

// ---- Files read again -------------------------------------------------------------------------------------

void Changes::Reload() {
  ReadFiles();
  log_.Write(base::kConfigReloaded, reloads_, reload_errors_, DocumentInForce());
}

void Changes::ReadFiles() {
  config::Sources next;
  try {
    next = ReadSources(EdgeEnvironment(), operators_path_);
  } catch (const ConfigError& error) {
    return Refuse(error);
  }
  // The platform's word first. It is a fact and not on trial: undoing it would leave the node at an address
  // that is gone.
  const std::string file = std::exchange(next.operators.text, sources_.operators.text);
  const std::string name = std::exchange(next.operators.name, sources_.operators.name);
  next.in_force = sources_.platform;
  bool changed = false;
  try {
    const Config told = MakeConfig(next);
    for (const std::string& path : NeedRestart(owner_.running(), told))
      log_.Write(base::kConfigNeedsRestart, path);
    Config adopted = Changed(owner_.running(), told);
    changed = adopted.shown != owner_.running().shown;
    sources_.platform = next.platform;
    KeepLastGood();
    ++reloads_;
    if (changed) owner_.Adopt(std::move(adopted));
  } catch (const ConfigError& error) {
    return Refuse(error);  // and nothing of the operator's file beside it acts
  }
  if (store_ != nullptr && config::Hash(file) != transactions_.history().seen_file) {
    config::Proposal proposal;
    proposal.author = "SIGHUP";
    proposal.reason = "the file " + name + " changed";
    proposal.document = file;
    proposal.file_hash = config::Hash(file);
    Feed(config::Proposed{Judged(std::move(proposal)), loop_.Now()});
  } else if (!changed) {
    log_.Write(base::kConfigUnchanged, owner_.running().discovery);
  }
}

void Changes::Refuse(const ConfigError& error) {
  ++reload_errors_;
  last_refusal_ = error.what();
  log_.Write(base::kConfigUnusable, last_refusal_);
}

std::string Changes::DocumentInForce() const {
  return sources_.platform.given ? config::Hash(sources_.platform.text) : "";
}

// ---- Effects ----------------------------------------------------------------------------------------------

void Changes::Feed(config::TransactionEvent event) {
  events_.push_back(std::move(event));
  if (feeding_) return;
  feeding_ = true;
  while (!events_.empty()) {
    const config::TransactionEvent next = std::move(events_.front());
    events_.pop_front();
    config::TransactionEffects effects;
    transactions_.On(next, effects);
    for (const config::TransactionEffect& effect : effects) {
      std::visit([this](const auto& e) { Do(e); }, effect);
    }
  }
  feeding_ = false;
}

void Changes::Do(const config::Save&) {
  std::string trouble;
  const bool ok = store_ == nullptr || store_->Save(transactions_.history(), trouble);
  if (!ok) log_.Write(base::kConfigStoreFailed, trouble);
  events_.emplace_back(config::Saved{ok});
}

void Changes::Do(const config::Apply& e) {
  step_(e.undo ? "config.undo" : "config.staged");
  std::vector<std::string> faults;
  auto next = Judge(e.document, faults, e.undo);
  std::string trouble;
  if (next) {
    sources_.operators.text = e.document;
    sources_.operators.name = fmt::format("generation {}", e.number);
    // What the change does in its first turn, such as handing back for want of room, is part of its trial.
    if (!e.undo) guard_.Begin(loop_.Now());
    owner_.Adopt(Changed(owner_.running(), *next));
  } else {
    for (const std::string& fault : faults) trouble += (trouble.empty() ? "" : "; ") + fault;
    if (e.undo) log_.Write(base::kConfigUnusable, trouble);  // the kept one was judged when it came in force
  }
  step_(e.undo ? "config.undone" : "config.applied");
  events_.emplace_back(config::Applied{trouble});
}

void Changes::Do(const config::Check& e) {
  events_.emplace_back(config::Rechecked{Judged(e.proposal), loop_.Now()});
}

void Changes::Do(const config::BeginTrial&) {
  look_.Start(owner_.running().change.trial / config::Guard::kLooks);
}

void Changes::Do(const config::EndTrial&) {
  look_.Stop();
  step_("config.keep");
  const config::Judgement last = guard_.End(loop_.Now());
  events_.emplace_back(config::GuardSaid{last.finding == config::Finding::kBurst, true, last.why});
}

void Changes::Do(const config::CancelTrial&) {
  look_.Stop();
  guard_.Cancel();
}

void Changes::Look() {
  const config::Judgement now = guard_.Look(loop_.Now());
  if (now.finding == config::Finding::kBurst) return Feed(config::GuardSaid{true, false, now.why});
  if (guard_.watching()) look_.Start(owner_.running().change.trial / config::Guard::kLooks);
}

void Changes::Do(const config::ArmTimer& e) { due_.Start(std::max(Micros(0), e.at - loop_.Now())); }

void Changes::Do(const config::Answer& e) {
  const auto node = tickets_.extract(e.ticket);
  if (!node.empty()) node.mapped()({{"ok", e.ok}, {"generation", e.number}, {"text", e.text}});
}

void Changes::Do(const config::Tell& e) {
  using enum config::Told;
  // The rules of a trial come from the configuration that it put in force; a trial's own guard keeps those it
  // began with.
  transactions_.SetRules(RulesOf(owner_.running()));
  guard_.SetRules(owner_.running().change);
  switch (e.told) {
    case kRefused: return log_.Write(base::kConfigRefused, e.author, e.text);
    case kOnTrial:
      return log_.Write(base::kConfigOnTrial, e.number, e.author, e.text, owner_.running().change.trial);
    case kKept: step_("config.kept"); return log_.Write(base::kConfigAccepted, e.number, e.text);
    case kUndone: return log_.Write(base::kConfigRolledBack, e.number, e.back_to, e.text);
    case kInterrupted: return log_.Write(base::kConfigTrialInterrupted, e.number, e.text);
    case kStoreFailed: return;  // said where it failed
  }
}

}  // namespace indigosaddle::node

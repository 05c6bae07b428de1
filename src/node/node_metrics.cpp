// What a running node reports about itself: metrics, status, and the periodic report in the log.
#include <fmt/format.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "base/log_events.h"
#include "base/version.h"
#include "node/counts_by_name.h"
#include "node/node.h"
#include "node/resource_shares.h"

namespace indigosaddle::node {
namespace {

using std::chrono::seconds;

constexpr Micros kReportInterval = seconds(10);
constexpr Micros kTickInterval = seconds(1);

}  // namespace

// Returns the counts of all configured classes, and of those that a configuration change has removed.
std::map<std::string, ClassCounts> Node::CountsByClass() const {
  std::map<std::string, ClassCounts> classes = counts_by_class_;
  for (const auto& [name, number] : config_.classes) classes.try_emplace(name);
  return classes;
}

// Returns the metrics in the statsd form. Counters start with the process.
std::string Node::Metrics() const {
  std::string text;
  for (const auto& [name, counts] : CountsByClass()) {
    text += fmt::format(
        "app.downstream_requests.{0}.completed:{1}|c\napp.downstream_requests.{0}.rejected:{2}|c\n"
        "app.downstream_requests.{0}.failed:{3}|c\n",
        name, counts.completed, counts.rejected, counts.failed);
  }
  std::size_t unavailable = 0;
  for (const auto& [id, listed] : state_.endpoints) {
    if (listed.endpoint.state != EndpointState::kReady) ++unavailable;
  }
  text += fmt::format(
      "app.upstream_requests:{}|c\napp.pending:{}|g\napp.members:{}|g\napp.members_unavailable:{}|g\n"
      "app.config_reloads:{}|c\napp.config_reload_errors:{}|c\n"
      "app.recovering:{}|g\napp.slow_start_calls:{}|c\napp.list_watch_losses:{}|c\napp.list_outdated:{}|g\n"
      "app.lifecycle_denied:{}|c\napp.lifecycle_breaks:{}|c\n",
      pool_.written(), state_.open(), state_.endpoints.size(), unavailable, config_changes_.reloads(),
      config_changes_.reload_errors(), brain_->slow_start().recovering, brain_->slow_start().calls,
      discovery_.watch_losses(), discovery_.outdated() ? 1 : 0,
      std::accumulate(lifecycle_.denied().begin(), lifecycle_.denied().end(), std::uint64_t{0}),
      lifecycle_.violations());
  return text + ConnectionMetrics();
}

void Node::OnControlRefused(std::uint64_t uid, std::string_view reason) {
  log_.Write(base::kControlRefused, uid, reason);
}

nlohmann::json Node::Status() const {
  nlohmann::json classes = nlohmann::json::object();
  for (const auto& [name, counts] : CountsByClass()) {
    classes[name] = {
        {"completed", counts.completed}, {"rejected", counts.rejected}, {"failed", counts.failed}};
  }
  return {
      {"ok", true},
      {"name", config_.name},
      {"version", base::kVersion},
      {"pid", getpid()},
      {"serving_ms", (loop_.Now() - started_at_).count() / 1000},
      {"stopping", lifecycle_.stopping()},
      {"state", StateName()},
      {"lifecycle",
       {{"phase", NameOf(lifecycle_.phase())},
        {"standby", lifecycle_.standby()},
        {"denied", CountsByName<Action>(lifecycle_.denied())},
        {"breaks", lifecycle_.violations()}}},
      {"waits_to_take_over", is_successor_},
      {"classes", classes},
      {"address", server_.address()},
      {"configuration", config_changes_.Status()},
      {"messages",
       {{"open", state_.open()},
        {"notices", state_.notices.size()},
        {"taken", accepted_},
        {"busy", answered_busy_},
        {"failed", answered_failed_},
        {"delivered", delivered_},
        {"returned", returned_},
        {"given_up", failed_}}},
      {"list", discovery_.Json()},
      {"watch", shadow_evaluation_ ? shadow_evaluation_->Json() : nlohmann::json()},
      {"fleet", fleet_ ? fleet_->Json() : nlohmann::json()},
      {"clients", {{"now", server_.connections()}, {"most", MaxClientConnections(config_)}}},
      {"calls",
       {{"connections", pool_.connections()},
        {"most", MaxCallConnections(config_)},
        {"opened", pool_.opened()}}},
      {"connections", ConnectionStatus()},
      {"slow_start",
       {{"recovering", brain_->slow_start().recovering}, {"calls", brain_->slow_start().calls}}},
      {"journal",
       {{"bytes", state_.journal_size},
        {"room", JournalQuotaBytes(config_)},
        {"writable", !journal_failed_}}},
      {"log",
       {{"lines", log_.written()}, {"dropped", log_.dropped()}, {"waiting_bytes", log_.waiting_bytes()}}}};
}

void Node::StartPeriodicTimers() {
  report_timer_.Start(kReportInterval);
  tick_timer_.Start(kTickInterval);
}

void Node::Tick() {
  UpdateFleetConditions();
  clock_.Save();
  SaveRules();
  config_changes_.SaveLastGood();
  log_.Tick();
  tick_timer_.Start(kTickInterval);
}

// The file belongs to the owner of the folder: a successor writes it once it has taken over.
void Node::SaveRules() {
  if (!is_successor_) rules_.Save();
}

void Node::LogReport() {
  const std::string attempt_results = CountsByName<state::AttemptResult>(attempt_results_);
  log_.Write(base::kReport, accepted_, answered_busy_, answered_failed_, state_.open(), state_.notices.size(),
             server_.connections(), pool_.connections(), pool_.opened(), state_.journal_size, attempt_results,
             log_.dropped(), brain_->slow_start().recovering, brain_->slow_start().calls,
             discovery_.watch_losses(), CountsByName<net::ClientCloseReason>(client_close_reasons_),
             ambiguous_rules_);
  LogConnectionReport();
  if (shadow_evaluation_)
    log_.Write(base::kShadowReport, shadow_evaluation_->messages(), shadow_evaluation_->Summary());
  report_timer_.Start(kReportInterval);
}

}  // namespace indigosaddle::node

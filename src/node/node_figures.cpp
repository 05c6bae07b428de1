// What a running node tells of itself: figures, status, the report in the log.
#include <fmt/format.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "base/log_events.h"
#include "base/version.h"
#include "node/counts_by_name.h"
#include "node/node.h"
#include "node/shares.h"

namespace indigosaddle::node {
namespace {

using std::chrono::seconds;

constexpr Micros kReportEvery = seconds(10);
constexpr Micros kTickEvery = seconds(1);

}  // namespace

// Every class named now, and those that a change has dropped, which still count.
std::map<std::string, Node::ClassFigures> Node::FiguresByClass() const {
  std::map<std::string, ClassFigures> classes = by_class_;
  for (const auto& [name, number] : config_.classes) classes.try_emplace(name);
  return classes;
}

// The figures in the statsd form, counts from the start of the process.
std::string Node::Figures() const {
  std::string out;
  for (const auto& [name, figures] : FiguresByClass()) {
    out += fmt::format(
        "app.downstream_requests.{0}.completed:{1}|c\napp.downstream_requests.{0}.rejected:{2}|c\n"
        "app.downstream_requests.{0}.failed:{3}|c\n",
        name, figures.completed, figures.rejected, figures.failed);
  }
  std::size_t unavailable = 0;
  for (const auto& [id, listed] : state_.endpoints) {
    if (listed.endpoint.state != EndpointState::kReady) ++unavailable;
  }
  out += fmt::format(
      "app.upstream_requests:{}|c\napp.pending:{}|g\napp.members:{}|g\napp.members_unavailable:{}|g\n"
      "app.config_reloads:{}|c\napp.config_reload_errors:{}|c\n"
      "app.recovering:{}|g\napp.slow_start_calls:{}|c\napp.list_watch_losses:{}|c\n"
      "app.lifecycle_denied:{}|c\napp.lifecycle_breaks:{}|c\n",
      pool_.written(), state_.open(), state_.endpoints.size(), unavailable, changes_.reloads(),
      changes_.reload_errors(), brain_->slow_start().recovering, brain_->slow_start().calls, WatchLosses(),
      std::accumulate(lifecycle_.denied().begin(), lifecycle_.denied().end(), std::uint64_t{0}),
      lifecycle_.violations());
  return out + ConnectionFigures();
}

std::uint64_t Node::WatchLosses() const { return watch_losses_.total() + new_watch_losses_.total(); }

void Node::OnControlRefused(std::uint64_t uid, std::string_view reason) {
  log_.Write(base::kControlRefused, uid, reason);
}

nlohmann::json Node::Status() const {
  nlohmann::json classes = nlohmann::json::object();
  for (const auto& [name, f] : FiguresByClass())
    classes[name] = {{"completed", f.completed}, {"rejected", f.rejected}, {"failed", f.failed}};
  return {
      {"ok", true},
      {"name", config_.name},
      {"version", base::kVersion},
      {"pid", getpid()},
      {"serving_ms", (loop_.Now() - started_at_).count() / 1000},
      {"stopping", lifecycle_.stopping()},
      {"state", Standing()},
      {"lifecycle",
       {{"phase", NameOf(lifecycle_.phase())},
        {"standby", lifecycle_.standby()},
        {"denied", CountsByName<Action>(lifecycle_.denied())},
        {"breaks", lifecycle_.violations()}}},
      {"waits_to_take_over", successor_},
      {"classes", classes},
      {"address", server_.address()},
      {"configuration", changes_.Status()},
      {"messages",
       {{"open", state_.open()},
        {"notices", state_.notices.size()},
        {"taken", taken_},
        {"busy", busy_},
        {"failed", failed_},
        {"delivered", delivered_},
        {"returned", returned_},
        {"given_up", given_up_}}},
      {"watch", watcher_ ? watcher_->Json() : nlohmann::json()},
      {"fleet", fleet_ ? fleet_->Json() : nlohmann::json()},
      {"clients", {{"now", server_.connections()}, {"most", ClientsPart(config_)}}},
      {"calls",
       {{"connections", pool_.connections()}, {"most", CallsPart(config_)}, {"opened", pool_.opened()}}},
      {"connections", ConnectionStatus()},
      {"slow_start",
       {{"recovering", brain_->slow_start().recovering}, {"calls", brain_->slow_start().calls}}},
      {"journal",
       {{"bytes", state_.journal_size},
        {"room", JournalRoom(config_, room_shared_)},
        {"writable", !journal_failed_}}},
      {"log",
       {{"lines", log_.written()}, {"dropped", log_.dropped()}, {"waiting_bytes", log_.waiting_bytes()}}}};
}

void Node::StartReports() {
  report_timer_.Start(kReportEvery);
  tick_timer_.Start(kTickEvery);
}

void Node::Tick() {
  TellFleet();
  clock_.Save();
  SaveRules();
  changes_.KeepLastGood();
  log_.Tick();
  tick_timer_.Start(kTickEvery);
}

// The file is its owner's: a successor writes it once it has taken over.
void Node::SaveRules() {
  if (!successor_) rules_.Save();
}

void Node::Report() {
  const std::string calls = CountsByName<state::AttemptResult>(endings_);
  log_.Write(base::kReport, taken_, busy_, failed_, state_.open(), state_.notices.size(),
             server_.connections(), pool_.connections(), pool_.opened(), state_.journal_size, calls,
             log_.dropped(), brain_->slow_start().recovering, brain_->slow_start().calls, WatchLosses(),
             CountsByName<net::ClientEnd>(client_ends_), unsure_rules_);
  ReportConnections();
  if (watcher_) log_.Write(base::kShadowReport, watcher_->messages(), watcher_->Text());
  report_timer_.Start(kReportEvery);
}

}  // namespace indigosaddle::node

// The delivery node: collects the events of its sockets, passes them in turns to the reducer and the decision
// engine, and carries out the effects that the reducer returns. It makes no decision itself.
#pragma once

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/log.h"
#include "brain.h"
#include "brain/lifecycle.h"
#include "net/admin_server.h"
#include "net/call_pool.h"
#include "net/control_server.h"
#include "net/loop.h"
#include "net/notices.h"
#include "net/resp_server.h"
#include "node/class_counts.h"
#include "node/config.h"
#include "node/config_changes.h"
#include "node/discovery_link.h"
#include "node/fleet_link.h"
#include "node/journal_file.h"
#include "node/message_rules.h"
#include "node/node_clock.h"
#include "node/shadow_evaluation.h"
#include "node/zone_numbers.h"
#include "state/reducer.h"

namespace indigosaddle::node {

// One node process. Owns the servers, the calls, the journal and the decision engine, and runs on the loop's
// thread alone. The loop and the log must outlive it.
class Node : private Host,
             private net::RespServer::Handler,
             private DiscoveryLink::Owner,
             private net::Notices::Handler,
             private net::ControlServer::Handler,
             private net::AdminServer::Handler,
             private net::CallObserver,
             private ConfigChanges::Owner {
 public:
  Node(net::Loop& loop, StartupConfig startup, base::Log& log);
  ~Node() override;

  // Reads the journal and starts to listen. False if the node can't serve; the log has the reason.
  bool Start();
  // Reads the configuration files again.
  void Reload();
  // Starts the graceful shutdown. The loop ends once every command that was read is answered, before SIGKILL
  // is due.
  void Stop();

 private:
  // Host: decisions of the engine, which become events of the turn.
  void Send(MessageId id, const EndpointId& endpoint, Micros timeout) override;
  bool Refuse(MessageId id, Micros retry_after, GiveUpCause cause) override;
  bool Fail(MessageId id, GiveUpCause cause) override;
  void SetTimer(Micros at) override;
  void Watch() override;
  void CloseIdle(const EndpointId& endpoint) override;
  void OnRecovery(const RecoveryChange& change) override;

  // Handlers of the sockets' events.
  void OnEnqueue(std::uint64_t connection, std::uint64_t command, net::Enqueue enqueue) override;
  void OnClientClosed(std::uint64_t connection, net::ClientCloseReason reason, std::uint64_t commands,
                      Micros lasted) override;
  bool May(Action action) override;
  void Did(Action action) override;
  void OnMembers(net::MemberListUpdate update) override;
  void OnListWatchLost() override;
  void OnListValidity(Micros outdated_from) override;
  void OnListOutdatedByMove() override;
  void OnDiscoverySwitched() override;
  void OnNoticesAccepted(const std::vector<std::uint64_t>& serials) override;
  void OnNoticeUnreadable(std::string_view line) override;
  net::CallPool::StartPermit PermitCallStart(std::uint64_t serial);
  static Action CallAction(const state::PendingMessage& pending);  // first or repeated call
  void OnCallEnded(const net::CallResult& result);
  // Observations of the call pool on its connections (node_connections.cpp).
  void OnUnsolicitedData(const net::UnsolicitedData& unsolicited) override;
  void OnAnswerRejected(const net::RejectedAnswer& answer) override;
  void OnConnectionClosed(const net::ClosedConnection& closed) override;
  void OnAnswersDoubtful(const std::vector<std::uint64_t>& serials) override;
  void OnTrustViolation(const net::ClosedConnection& closed) override;
  std::string ConnectionMetrics() const;
  nlohmann::json ConnectionStatus() const;
  void LogConnectionReport();
  void OnControlRequest(std::uint64_t peer, std::string_view line) override;
  void OnControlRefused(std::uint64_t uid, std::string_view reason) override;
  net::AdminResponse OnAdminRequest(std::string_view method, std::string_view path) override;

  // Operations: quiescing for a front, the take-over between two processes, a new address of discovery.
  void Quiesce();
  void ResumeWork();
  void DisconnectIdleClients();
  // Where one of these can't read a journal, the log has the reason.
  using JournalReader = bool (JournalFile::*)(std::size_t max_bytes, std::string& bytes, std::string& error);
  std::optional<std::size_t> ReadJournal(JournalReader read, state::Recovered& recovered);
  std::optional<std::size_t> ReadJournals(state::Recovered& recovered);
  bool Recover(state::Recovered& recovered);
  void StartRules(bool folder_used);
  bool EnterStandby();
  int ListenForClients();  // 0, or a negative libuv error code
  void ScheduleOwnershipCheck();
  void CheckFolderOwnership();
  void TakeOver();
  void WarnOfLongStandby();
  void LeaveStandby();
  DiscoveryTarget DiscoveryInForce() const;
  void MoveDiscovery();
  const char* StateName() const;
  std::map<std::string, ClassCounts> CountsByClass() const;
  std::string Metrics() const;

  // ConfigChanges::Owner: access of configuration changes to the node.
  const Config& running() const override { return config_; }
  std::size_t HeldMessages(const std::string& message_class, const std::string& tenant) const override;
  void ApplyConfig(Config next) override;
  std::string DiscoveryMoveFault() const override { return discovery_.MoveFault(); }

  bool HasWaitingClient(state::Serial serial) const;
  bool NeedsFreshConnection(state::Serial serial) const;
  void Push(state::Event event);
  void OnTurnTimer();
  void OnLoopIteration();
  void RunTurnIfDue();
  void RunTurn();
  void HandleMessage(state::ClientMessage& message);
  void Reduce(const state::Event& event);
  void ExecuteEffect(state::Effect& effect);
  void Execute(state::TellMessage& effect);
  void Execute(state::TellWithdrawn& effect);
  void Execute(state::TellAnswerDelivered& effect);
  void Execute(state::TellOutcome& effect);
  void Execute(state::TellList& effect);
  void Execute(state::TellListWatchLost& effect);
  void Execute(state::TellListValidity& effect);
  void Execute(state::TellRetryAfter& effect);
  void Execute(state::TellStop& effect);
  void Execute(state::TellZoneLost& effect);
  void Execute(state::TellSettings& effect);
  void Execute(state::AppendJournal& effect);
  void Execute(state::RewriteJournal& effect);
  void Execute(state::Reply& effect);
  void Execute(state::StartCall& effect);
  void Execute(state::PostNotices& effect);
  void Execute(state::ArmTimer& effect);
  void Execute(state::RenewWatch& effect);
  void Execute(state::CloseIdle& effect);
  void Execute(state::Note& effect);
  void Execute(state::MessageResumed& effect);
  void Execute(state::MessageInDoubt& effect);
  void Execute(state::MessageFinished& effect);
  void CountFinished(const state::MessageFinished& finished, Micros time_held);
  void LogCall(const net::CallResult& result);
  void LogRuleChanges(const Config& next);
  void SaveRules();
  void OnJournalWritten(bool ok);
  // Lifecycle of the process: phase changes, and the steps of a graceful shutdown.
  void OnPhaseChange(const PhaseChange& change);
  void OnLifecycleViolation(Phase phase, Action action);
  void PushCallDeadline();
  void HandOver();
  void AdvanceShutdown();
  bool StopListening();
  void DisconnectClients();
  void RejectClients();
  void FinishIfDrained();
  void Finish(PhaseCause cause);
  void CloseAll();
  void LogReport();
  void Tick();
  void StartPeriodicTimers();
  // False if it can't, with the reason in the log. True if no fleet is configured.
  bool StartFleet();
  Settings SettingsInForce() const;  // the configured ones, with the number of senders that the fleet agreed
  void PushSettings();
  void OnFleetSnapshot();
  void UpdateFleetConditions();
  nlohmann::json Status() const;

  net::Loop& loop_;
  Config config_;
  base::Log& log_;
  NodeClock clock_;  // constructed before the members that read the loop's time
  Lifecycle lifecycle_;
  JournalFile journal_;
  MessageRules rules_;
  ZoneNumbers zone_numbers_;  // of listed endpoints
  state::State state_;
  std::unique_ptr<Brain> brain_;
  std::unique_ptr<ShadowEvaluation> shadow_evaluation_;  // null: no settings are evaluated
  net::CallPool pool_;
  net::RespServer server_;
  DiscoveryLink discovery_;  // closed once intake has ended
  net::Notices notices_;
  std::optional<net::ControlServer> control_;  // empty once the process ends
  std::optional<net::AdminServer> admin_;      // empty once the process ends
  ConfigChanges config_changes_;
  std::unique_ptr<FleetLink> fleet_;  // null: no fleet is configured
  net::Timer turn_timer_, journal_retry_timer_, shutdown_timer_, report_timer_, tick_timer_;
  net::Timer ownership_timer_, disconnect_idle_timer_, standby_timer_;
  uv_prepare_t prepare_{};
  uv_check_t check_{};
  uv_idle_t idle_{};  // active while events are queued, so that the loop does not sleep
  std::deque<state::Event> events_;
  std::vector<state::Event> decisions_;  // of the engine in the present turn
  // Number of calls in decisions_ that will reuse an idle connection, by endpoint.
  std::map<EndpointId, std::size_t> idle_connections_assigned_;
  state::Effects deferred_effects_;  // executed in the next turn, as after a failed journal write
  Micros clients_seen_at_{0};        // zero: no client yet
  int senders_in_force_ = 0;         // the number that the engine has
  bool turn_due_ = false, journal_failed_ = false, may_accept_messages_ = false;
  bool is_successor_ = false;  // the predecessor still owns the folder
  // When the present and the previous iteration of the loop began. A signal that is handled now arrived after
  // the previous one had begun.
  Micros iteration_began_at_{0}, previous_iteration_began_at_{0};
  std::uint64_t clients_ended_in_phase_ = 0;
  bool stepped_in_phase_ = false;  // a shutdown step was taken in this phase
  // Iterations of the loop that began after the first shutdown step in this phase.
  std::uint64_t iterations_since_step_ = 0;
  Micros turn_time_{0}, next_turn_at_{0};  // of the last turn; for which the engine asked
  std::array<std::uint64_t, static_cast<std::size_t>(state::kLastAttemptResult) + 1> attempt_results_{};
  std::array<std::uint64_t, net::kClientCloseReasons> client_close_reasons_{};
  std::uint64_t ambiguous_rules_ = 0;  // messages that more than one set of rules may apply to
  std::uint64_t accepted_ = 0, answered_busy_ = 0, answered_failed_ = 0, delivered_ = 0, returned_ = 0,
                failed_ = 0;
  Micros started_at_{0};
  std::map<std::string, ClassCounts> counts_by_class_;  // since the start of the process
};

}  // namespace indigosaddle::node

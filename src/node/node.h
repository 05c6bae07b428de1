// The delivery node: feeds what comes from the sockets to the reducer and the module in turns, and carries
// out the effects that the reducer asks for. Nothing is decided here.
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
#include "net/discovery.h"
#include "net/loop.h"
#include "net/notices.h"
#include "net/resp_server.h"
#include "node/config.h"
#include "node/config_changes.h"
#include "node/fleet_link.h"
#include "node/journal_file.h"
#include "node/message_rules.h"
#include "node/node_clock.h"
#include "node/repeated_event.h"
#include "node/shadow_evaluation.h"
#include "node/zone_numbers.h"
#include "state/reducer.h"

namespace indigosaddle::node {

class Node : private Host,
             private net::RespServer::Handler,
             private net::Discovery::Handler,
             private net::Notices::Handler,
             private net::ControlServer::Handler,
             private net::AdminServer::Handler,
             private net::CallObserver,
             private ConfigChanges::Owner {
 public:
  Node(net::Loop& loop, Beginning beginning, base::Log& log);
  ~Node() override;

  bool Start();   // false: it can't serve, and has said why
  void Reload();  // reads the configuration files again
  void Stop();    // ends the loop when all that was read is answered, before a kill would come

 private:
  // Host: the module's decisions, as events of the turn.
  void Send(MessageId id, const EndpointId& endpoint, Micros timeout) override;
  bool Refuse(MessageId id, Micros not_before, GiveUpCause cause) override;
  bool Fail(MessageId id, GiveUpCause cause) override;
  void SetTimer(Micros at) override;
  void Watch() override;
  void CloseIdle(const EndpointId& endpoint) override;
  void OnRecovery(const RecoveryChange& change) override;

  // What the sockets bring.
  void OnEnqueue(std::uint64_t connection, std::uint64_t command, net::Enqueue enqueue) override;
  void OnClientGone(std::uint64_t connection, net::ClientEnd end, std::uint64_t commands,
                    Micros lasted) override;
  bool May(Action action) override;
  void Did(Action action) override;
  void OnMembers(net::MemberNews news) override;
  void OnWatchLost(std::string_view reason, Micros outdated_from) override;
  void OnNoticesTaken(const std::vector<std::uint64_t>& serials) override;
  void OnNoticeUnreadable(std::string_view line) override;
  net::CallPool::StartPermit MayBegin(std::uint64_t serial);
  static Action CallAction(const state::PendingMessage& owed);  // a first call, or one more
  void OnCallEnded(const net::CallResult& result);
  // What the pool sees on its connections (node_connections.cpp).
  void OnUnasked(const net::UnaskedBytes& unasked) override;
  void OnNotBelieved(const net::DisbelievedAnswer& answer) override;
  void OnConnectionClosed(const net::ClosedConnection& closed) override;
  void OnDoubted(const std::vector<std::uint64_t>& serials) override;
  void OnTrustBreak(const net::ClosedConnection& connection) override;
  std::string ConnectionFigures() const;
  nlohmann::json ConnectionStatus() const;
  void ReportConnections();
  void OnControl(std::uint64_t peer, std::string_view line) override;
  void OnControlRefused(std::uint64_t uid, std::string_view reason) override;
  net::AdminAnswer OnAdmin(std::string_view method, std::string_view path) override;

  // Operations: emptying the node for a front, and a process that replaces this one.
  void Quiesce();
  void ResumeWork();
  void LetQuietGo();
  bool ReadJournals(JournalFile::Role role,
                    state::Recovered& recovered);  // false: it can't, and has said why
  void StandBy();
  void LookForOthers();
  void TryClaim();
  void BeginCalls();
  void ShareRoom(bool shared);
  std::unique_ptr<net::Discovery> MakeDiscovery(net::Discovery::Handler& handler);
  void MoveDiscovery();
  void Arrived();
  const char* Standing() const;
  struct ClassFigures {
    std::uint64_t completed = 0, rejected = 0, failed = 0;
  };
  std::map<std::string, ClassFigures> FiguresByClass() const;
  std::string Figures() const;
  std::uint64_t WatchLosses() const;

  // What changes of the configuration need of the node.
  const Config& running() const override { return config_; }
  std::size_t HeldMessages(const std::string& message_class, const std::string& tenant) const override;
  void Adopt(Config next) override;

  bool AnswersItsClient(state::Serial serial) const;
  bool FirstCallOnly(state::Serial serial) const;
  void Push(state::Event event);
  void Wake();
  void BeginPass();
  void RunTurnIfDue();
  void RunTurn();
  void Reduce(const state::Event& event);
  void Carry(state::Effect& effect);
  void Do(state::TellMessage& e);
  void Do(state::TellWithdrawn& e);
  void Do(state::TellAnswerDelivered& e);
  void Do(state::TellOutcome& e);
  void Do(state::TellList& e);
  void Do(state::TellListWatchLost& e);
  void Do(state::TellRetryAfter& e);
  void Do(state::TellStop& e);
  void Do(state::TellZoneLost& e);
  void Do(state::TellSettings& e);
  void Do(state::AppendJournal& e);
  void Do(state::RewriteJournal& e);
  void Do(state::Reply& e);
  void Do(state::StartCall& e);
  void Do(state::PostNotices& e);
  void Do(state::ArmTimer& e);
  void Do(state::RenewWatch& e);
  void Do(state::CloseIdle& e);
  void Do(state::Note& e);
  void Do(state::MessageResumed& e);
  void Do(state::MessageInDoubt& e);
  void Do(state::MessageFinished& e);
  void Count(const state::MessageFinished& e, Micros held);
  void LogCall(const net::CallResult& result);
  void LogRuleChanges(const Config& next);
  void SaveRules();
  void Write(bool ok);
  // The life of the process: what changes of its phase bring about, and the steps of a stop.
  void OnPhase(const PhaseChange& change);
  void OnLifecycleBreak(Phase phase, Action action);
  void TellCallsEnd();
  void HandOver();
  void StepStop();
  void LeaveClients();
  void RefuseClients();
  void CloseDown();
  void Finish(PhaseCause cause);
  void CloseAll();
  void Report();
  void Tick();
  void StartReports();
  bool StartFleet();         // false: it can't, and has said why; true where none is asked for too
  Settings InForce() const;  // the configured ones, with what the fleet has agreed
  void PushSettings();
  void OnFleet();
  void TellFleet();
  nlohmann::json Status() const;

  net::Loop& loop_;
  Config config_;
  base::Log& log_;
  NodeClock clock_;  // before all that reads the loop's time
  Lifecycle lifecycle_;
  JournalFile journal_;
  MessageRules rules_;
  ZoneNumbers zone_numbers_;  // of listed endpoints
  state::State state_;
  std::unique_ptr<Brain> brain_;
  std::unique_ptr<ShadowEvaluation> watcher_;  // null: nothing is watched
  net::CallPool pool_;
  net::RespServer server_;
  std::unique_ptr<net::Discovery> discovery_;  // none once intake is over
  // Discovery at a new address, until it has given a whole list: the old one goes on telling till then.
  class Arriving : public net::Discovery::Handler {
   public:
    explicit Arriving(Node& node) : node_(node) {}
    void OnMembers(net::MemberNews news) override;
    void OnWatchLost(std::string_view reason, Micros outdated_from) override;

   private:
    Node& node_;
  };
  Arriving arriving_handler_{*this};
  std::unique_ptr<net::Discovery> arriving_;
  std::string discovery_at_;  // where discovery_ asks
  net::Notices notices_;
  std::optional<net::ControlServer> control_;  // none once the process ends
  std::optional<net::AdminServer> admin_;      // the same
  ConfigChanges changes_;
  std::unique_ptr<FleetLink> fleet_;  // null: nothing is shared
  net::Timer turn_timer_, later_timer_, stop_timer_, report_timer_, tick_timer_;
  net::Timer claim_timer_, quiet_timer_, arrived_timer_, standby_timer_;
  uv_prepare_t prepare_{};
  uv_check_t check_{};
  uv_idle_t idle_{};  // runs while events wait: the loop must not sleep then
  std::deque<state::Event> events_;
  std::vector<state::Event> decisions_;        // of the present turn
  std::map<EndpointId, std::size_t> on_idle_;  // calls among them that find an idle connection
  state::Effects later_;  // told to the module when a failed journal write is tried again
  Micros list_lost_at_{0}, clients_seen_at_{0};    // zero: the watch stands; no client yet
  int senders_in_force_ = 0;                       // as the module was last told
  RepeatedEvent watch_losses_, new_watch_losses_;  // of discovery, and of its new address
  bool turn_due_ = false, journal_failed_ = false;
  // Beside a process that this one replaces; beside another one, with the folder's room halved.
  bool successor_ = false, room_shared_ = false;
  // When the latest passes of the loop began. A signal that is heard now came behind the one before the
  // latest.
  Micros pass_began_{0}, pass_before_began_{0};
  std::uint64_t clients_ended_in_phase_ = 0;
  bool stepped_in_phase_ = false;
  std::uint64_t passes_since_step_ = 0;  // of the loop, begun behind the first step of a stop in this phase
  Micros now_{0}, wake_at_{0};           // of the last turn; for the next, as the module asked
  std::array<std::uint64_t, static_cast<std::size_t>(state::kLastAttemptResult) + 1> endings_{};
  std::array<std::uint64_t, net::kClientEnds> client_ends_{};
  std::uint64_t unsure_rules_ = 0;  // messages whose birth several rules may bind
  std::uint64_t taken_ = 0, busy_ = 0, failed_ = 0, delivered_ = 0, returned_ = 0, given_up_ = 0;
  Micros started_at_{0};
  std::map<std::string, ClassFigures> by_class_;  // from the start of the process, as the figures tell
};

}  // namespace indigosaddle::node

#include "node/node.h"

#include <uv.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "base/descriptor.h"
#include "base/log_events.h"
#include "base/version.h"
#include "node/resource_shares.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kClaimRetryInterval = milliseconds(20);
// A third process waits at most this long until one of the two processes that share the folder ends.
constexpr Micros kMaxClaimWait = seconds(5);

}  // namespace

Node::Node(net::Loop& loop, StartupConfig startup, base::Log& log)
    : loop_(loop),
      config_(WithinDescriptors(startup.config, base::DescriptorLimit())),
      log_(log),
      clock_(loop, config_.state_folder),
      lifecycle_(
          loop.Now(), [this](const PhaseChange& change) { OnPhaseChange(change); },
          [this](Phase phase, Action action) { OnLifecycleViolation(phase, action); }),
      journal_(config_.state_folder),
      rules_(config_.state_folder),
      state_(ReducerLimits(config_)),
      brain_(MakeBrain(config_.settings, *this)),
      shadow_evaluation_(
          config_.shadow.on ? std::make_unique<ShadowEvaluation>(config_.shadow, config_.settings) : nullptr),
      pool_(
          loop, {config_.connect_timeout, config_.settings.idle_close, MaxCallConnections(config_)},
          [this](std::uint64_t serial) { return PermitCallStart(serial); },
          [this](const net::CallResult& result) { OnCallEnded(result); }),
      server_(loop, *this, ServerLimits(config_)),
      discovery_(loop, *this, log),
      notices_(loop, *this, config_.discovery),
      control_(std::in_place, loop, static_cast<net::ControlServer::Handler&>(*this)),
      admin_(std::in_place, loop, static_cast<net::AdminServer::Handler&>(*this)),
      config_changes_(loop, *this, std::move(startup), log),
      turn_timer_(loop, [this] { OnTurnTimer(); }),
      journal_retry_timer_(loop, [this] { turn_due_ = true; }),
      shutdown_timer_(loop, [this] { AdvanceShutdown(); }),
      report_timer_(loop, [this] { LogReport(); }),
      tick_timer_(loop, [this] { Tick(); }),
      ownership_timer_(loop, [this] { CheckFolderOwnership(); }),
      disconnect_idle_timer_(loop, [this] { DisconnectIdleClients(); }),
      standby_timer_(loop, [this] { WarnOfLongStandby(); }) {
  pool_.Observe(*this);
  uv_prepare_init(loop.raw(), &prepare_);
  uv_check_init(loop.raw(), &check_);
  uv_idle_init(loop.raw(), &idle_);
  prepare_.data = check_.data = idle_.data = this;
}

Node::~Node() {
  uv_close(reinterpret_cast<uv_handle_t*>(&prepare_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&check_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&idle_), nullptr);
  uv_run(loop_.raw(), UV_RUN_NOWAIT);  // the handles are members and must be closed before they are destroyed
}

bool Node::Start() {
  started_at_ = iteration_began_at_ = previous_iteration_began_at_ = loop_.Now();
  clock_.Save();
  log_.Write(base::kClockOrigin, clock_.continued(), clock_.saved(), clock_.ahead_of_wall());
  JournalFile::Role role = journal_.Claim();
  while (role == JournalFile::Role::kNone && loop_.Now() - started_at_ < kMaxClaimWait) {
    std::this_thread::sleep_for(kClaimRetryInterval);
    role = journal_.Claim();
  }
  if (role == JournalFile::Role::kNone) {
    log_.Write(base::kStateFolderUnusable, config_.state_folder, "two processes serve from it already");
    return false;
  }
  state::Recovered recovered;
  if (!(role == JournalFile::Role::kSuccessor ? EnterStandby() : Recover(recovered))) return false;
  ScheduleOwnershipCheck();
  std::optional<std::uint64_t> known_version;
  if (!config_.known_list.empty()) {
    if (auto known_list = net::ParseMembers(config_.known_list)) {
      known_list->whole = true;
      if (known_list->skipped.empty()) known_version = known_list->version;
      OnMembers(std::move(*known_list));
    } else {
      log_.Write(base::kConfiguredListUnreadable, "known");
    }
  }
  if (!is_successor_) Push(std::move(recovered));
  RunTurn();
  if (const int error = ListenForClients(); error != 0) {
    log_.Write(base::kListenFailed, config_.listen, uv_strerror(error));
    return false;
  }
  if (!config_.admin_address.empty()) {
    if (const int error = admin_->Listen(config_.admin_address); error != 0) {
      log_.Write(base::kListenFailed, config_.admin_address, uv_strerror(error));
      return false;
    }
  }
  if (!is_successor_ && !StartFleet()) return false;
  uv_prepare_start(&prepare_,
                   [](uv_prepare_t* handle) { static_cast<Node*>(handle->data)->OnLoopIteration(); });
  uv_check_start(&check_, [](uv_check_t* handle) { static_cast<Node*>(handle->data)->RunTurnIfDue(); });
  discovery_.Start(DiscoveryInForce(), known_version);
  StartPeriodicTimers();
  config_changes_.Start();
  if (!config_.control_socket.empty()) {
    const std::string path = config_.state_folder + "/" + config_.control_socket;
    const std::string reason = control_->Listen(path);
    reason.empty() ? log_.Write(base::kControlOpen, path) : log_.Write(base::kControlFailed, path, reason);
  }
  lifecycle_.Serve(loop_.Now());
  log_.Write(base::kServing, server_.address(), base::kVersion, MaxClientConnections(config_),
             MaxCallConnections(config_), config_.disk_bytes);
  return true;
}

}  // namespace indigosaddle::node

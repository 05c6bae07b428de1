#include "node/node.h"

#include <uv.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "base/descriptor.h"
#include "base/log_events.h"
#include "base/version.h"
#include "node/shares.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kClaimAgain = milliseconds(20);
// A third process waits this long for one of two that share the folder to end.
constexpr Micros kWaitForPlace = seconds(5);

}  // namespace

Node::Node(net::Loop& loop, Beginning beginning, base::Log& log)
    : loop_(loop),
      config_(WithinDescriptors(beginning.config, base::DescriptorLimit())),
      log_(log),
      clock_(loop, config_.state_folder),
      lifecycle_(
          loop.Now(), [this](const PhaseChange& change) { OnPhase(change); },
          [this](Phase phase, Action action) { OnLifecycleBreak(phase, action); }),
      journal_(config_.state_folder),
      rules_(config_.state_folder),
      state_(LimitsOf(config_)),
      brain_(MakeBrain(config_.settings, *this)),
      watcher_(config_.watched.on ? std::make_unique<Watcher>(config_.watched, config_.settings) : nullptr),
      pool_(
          loop, {config_.connect_timeout, config_.settings.idle_close, CallsPart(config_)},
          [this](std::uint64_t serial) { return MayBegin(serial); },
          [this](const net::CallResult& result) { OnCallEnded(result); }),
      server_(loop, *this, ServerLimits(config_)),
      discovery_(MakeDiscovery(*this)),
      notices_(loop, *this, config_.discovery),
      control_(std::in_place, loop, static_cast<net::ControlServer::Handler&>(*this)),
      admin_(std::in_place, loop, static_cast<net::AdminServer::Handler&>(*this)),
      changes_(loop, *this, std::move(beginning), log),
      turn_timer_(loop, [this] { Wake(); }),
      later_timer_(loop, [this] { turn_due_ = true; }),
      stop_timer_(loop, [this] { StepStop(); }),
      report_timer_(loop, [this] { Report(); }),
      tick_timer_(loop, [this] { Tick(); }),
      claim_timer_(loop, [this] { TryClaim(); }),
      quiet_timer_(loop, [this] { LetQuietGo(); }),
      arrived_timer_(loop, [this] { Arrived(); }),
      standby_timer_(loop, [this] { BeginCalls(); }) {
  discovery_at_ = config_.discovery;
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
  uv_run(loop_.raw(), UV_RUN_NOWAIT);  // these three are members: they must be closed before they go
}

bool Node::Start() {
  started_at_ = pass_began_ = pass_before_began_ = loop_.Now();
  clock_.Save();
  log_.Write(base::kClockOrigin, clock_.continued(), clock_.saved(), clock_.ahead_of_wall());
  JournalFile::Role role = journal_.Claim();
  while (role == JournalFile::Role::kNone && loop_.Now() - started_at_ < kWaitForPlace) {
    std::this_thread::sleep_for(kClaimAgain);
    role = journal_.Claim();
  }
  if (role == JournalFile::Role::kNone) {
    log_.Write(base::kStateFolderUnusable, config_.state_folder, "two processes serve from it already");
    return false;
  }
  state::Recovered recovered;
  if (!ReadJournals(role, recovered)) return false;
  if (role == JournalFile::Role::kSuccessor) StandBy();
  SaveRules();
  LookForOthers();
  std::optional<std::uint64_t> held;
  if (!config_.known.empty()) {
    if (auto news = net::ParseMembers(config_.known)) {
      news->whole = true;
      if (news->skipped.empty()) held = news->version;
      OnMembers(std::move(*news));
    } else {
      log_.Write(base::kConfiguredListUnreadable, "known");
    }
  }
  Push(std::move(recovered));
  RunTurn();
  if (const int error = server_.Listen(config_.listen); error != 0) {
    log_.Write(base::kListenFailed, config_.listen, uv_strerror(error));
    return false;
  }
  if (!config_.control.empty()) {
    if (const int error = admin_->Listen(config_.control); error != 0) {
      log_.Write(base::kListenFailed, config_.control, uv_strerror(error));
      return false;
    }
  }
  if (!successor_ && !StartFleet()) return false;
  uv_prepare_start(&prepare_, [](uv_prepare_t* handle) { static_cast<Node*>(handle->data)->BeginPass(); });
  uv_check_start(&check_, [](uv_check_t* handle) { static_cast<Node*>(handle->data)->RunTurnIfDue(); });
  discovery_->Start(held);
  StartReports();
  changes_.Start();
  if (!config_.control_socket.empty()) {
    const std::string path = config_.state_folder + "/" + config_.control_socket;
    const std::string reason = control_->Listen(path);
    reason.empty() ? log_.Write(base::kControlOpen, path) : log_.Write(base::kControlFailed, path, reason);
  }
  lifecycle_.Serve(loop_.Now());
  log_.Write(base::kServing, server_.address(), base::kVersion, ClientsPart(config_), CallsPart(config_),
             config_.disk_bytes);
  return true;
}

}  // namespace indigosaddle::node

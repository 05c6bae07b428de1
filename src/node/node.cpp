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

// A successor asks this often whether the process before it has ended; what that one left waits no longer.
constexpr Micros kClaimEvery = milliseconds(20);
constexpr Micros kReadAgain = seconds(1);  // where that can't be read
// A third process waits this long for one of two that share the folder to end.
constexpr Micros kWaitForPlace = seconds(5);
// A successor's messages are numbered past all that the process before it can number meanwhile.
constexpr state::Serial kSuccessorGap = state::Serial{1} << 32;

}  // namespace

Node::Node(net::Loop& loop, Beginning beginning, base::Log& log)
    : loop_(loop),
      config_(WithinDescriptors(beginning.config, base::AllowedDescriptors())),
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

namespace {

// The messages of a journal: its records, and the highest number that it gave.
state::ReadJournal Parsed(const std::string& bytes, state::Serial& highest) {
  state::ReadJournal read = state::ParseJournal(bytes);
  for (const state::Record& record : read.records) {
    if (const auto* taken = std::get_if<state::Taken>(&record)) highest = std::max(highest, taken->serial);
  }
  return read;
}

void Add(state::ReadJournal journal, state::Recovered& recovered) {
  recovered.unsure.merge(state::Unsure(journal));
  for (state::Record& record : journal.records) recovered.records.push_back(std::move(record));
}

}  // namespace

bool Node::Start() {
  started_at_ = pass_began_ = pass_before_began_ = loop_.Now();
  clock_.Save();
  log_.Write(base::kClockOrigin, clock_.continued(), clock_.saved(), clock_.ahead_of_wall());
  JournalFile::Role role = journal_.Claim();
  while (role == JournalFile::Role::kNone && loop_.Now() - started_at_ < kWaitForPlace) {
    std::this_thread::sleep_for(kClaimEvery);
    role = journal_.Claim();
  }
  if (role == JournalFile::Role::kNone) {
    log_.Write(base::kFolderUnusable, config_.state_folder, "two processes serve from it already");
    return false;
  }
  std::string bytes, trouble;
  if (!journal_.Read(MostJournal(config_), bytes, trouble)) {
    log_.Write(base::kFolderUnusable, config_.state_folder, trouble);
    return false;
  }
  log_.Write(base::kJournalFound, bytes.size());
  rules_.Start(config_, started_at_, clock_.continued() || !bytes.empty());
  if (!rules_.known()) log_.Write(base::kRulesUnknown, config_.state_folder);
  state::Serial highest = 0;
  state::ReadJournal old = Parsed(bytes, highest);
  state::Recovered recovered;
  if (role == JournalFile::Role::kOwner) {
    if (!trouble.empty()) log_.Write(base::kJournalDamaged, trouble, bytes.size(), bytes.size());
    if (!old.trouble.empty()) log_.Write(base::kJournalDamaged, old.trouble, old.read, bytes.size());
    Add(std::move(old), recovered);
    // A successor that died before it took over left its own file.
    std::string next;
    trouble.clear();
    if (journal_.absorbs_next() && !journal_.ReadNext(MostJournal(config_), next, trouble)) {
      log_.Write(base::kFolderUnusable, config_.state_folder, trouble);
      return false;
    }
    if (!next.empty()) {
      log_.Write(base::kJournalFound, next.size());
      state::ReadJournal more = Parsed(next, highest);
      if (!more.trouble.empty()) log_.Write(base::kJournalDamaged, more.trouble, more.read, next.size());
      Add(std::move(more), recovered);
    }
  } else {
    // Another process serves from this folder: what it owes is its own until it ends.
    successor_ = true;
    recovered.numbered_past = highest + kSuccessorGap;
    log_.Write(base::kJournalShared, config_.state_folder);
    ShareRoom(true);
    lifecycle_.SetStandby(true);
    TellCallsEnd();
    standby_timer_.Start(Lifecycle::kStandby);
  }
  SaveRules();
  claim_timer_.Start(kClaimEvery);
  std::optional<std::uint64_t> held;
  if (!config_.known.empty()) {
    if (auto news = net::ParseMembers(config_.known)) {
      news->whole = true;
      if (news->skipped.empty()) held = news->version;
      OnMembers(std::move(*news));
    } else {
      log_.Write(base::kKnownUnreadable, "known");
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

// The process before this one has ended once its lock is free; what it still owed is resumed here. An owner
// looks whether a successor has come.
void Node::TryClaim() {
  if (successor_ && !May(Action::kHandOver)) return;
  claim_timer_.Start(kClaimEvery);
  if (!successor_) {
    ShareRoom(journal_.HasSuccessor());
    if (room_shared_ && lifecycle_.stopping()) HandOver();
    return;
  }
  if (journal_.Claim() != JournalFile::Role::kOwner) return;
  std::string bytes, trouble;
  if (!journal_.Read(MostJournal(config_), bytes, trouble)) {  // left as it is, and serves on as a successor
    log_.Write(base::kFolderUnusable, config_.state_folder, trouble);
    return claim_timer_.Start(kReadAgain);
  }
  Did(Action::kHandOver);
  successor_ = false;
  rules_.TakeOver(loop_.Now());
  if (!rules_.known()) log_.Write(base::kRulesUnknown, config_.state_folder);
  SaveRules();
  ShareRoom(false);
  state::Serial highest = 0;
  state::ReadJournal old = Parsed(bytes, highest);
  if (!old.trouble.empty()) log_.Write(base::kJournalDamaged, old.trouble, old.read, bytes.size());
  log_.Write(base::kJournalTakenOver, bytes.size());
  state::Recovered recovered;
  Add(std::move(old), recovered);
  recovered.now = loop_.Now();
  Push(std::move(recovered));
  if (!StartFleet()) log_.Write(base::kFleetTrouble, "its address can't be used; nothing is shared");
  BeginCalls();
}

// Also of a successor whose predecessor is left running: each serves what its clients bring.
void Node::BeginCalls() {
  standby_timer_.Stop();
  lifecycle_.SetStandby(false);
  TellCallsEnd();
  RunTurn();
}

void Node::ShareRoom(bool shared) {
  if (std::exchange(room_shared_, shared) != shared)
    state_.limits.journal_bytes = JournalRoom(config_, shared);
}

}  // namespace indigosaddle::node

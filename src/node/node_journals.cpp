// The journals of this process, of the one before it and of the one behind it: read at the start, taken over,
// shared.
#include <algorithm>
#include <utility>

#include "base/log_events.h"
#include "node/node.h"
#include "node/shares.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A successor asks this often whether the process before it has ended; what that one left waits no longer.
constexpr Micros kClaimEvery = milliseconds(20);
constexpr Micros kReadAgain = seconds(1);  // where that can't be read
// A successor's messages are numbered past all that the process before it can number meanwhile.
constexpr state::Serial kSuccessorGap = state::Serial{1} << 32;

// The messages of a journal: its records, and the highest number that it gave.
state::ParsedJournal Parsed(const std::string& bytes, state::Serial& highest) {
  state::ParsedJournal read = state::ParseJournal(bytes);
  for (const state::Record& record : read.records) {
    if (const auto* taken = std::get_if<state::AcceptedMessage>(&record))
      highest = std::max(highest, taken->serial);
  }
  return read;
}

void Add(state::ParsedJournal journal, state::Recovered& recovered) {
  recovered.in_doubt.merge(state::MessagesInDoubt(journal));
  for (state::Record& record : journal.records) recovered.records.push_back(std::move(record));
}

}  // namespace

bool Node::ReadJournals(JournalFile::Role role, state::Recovered& recovered) {
  std::string bytes, trouble;
  if (!journal_.Read(MostJournal(config_), bytes, trouble)) {
    log_.Write(base::kStateFolderUnusable, config_.state_folder, trouble);
    return false;
  }
  log_.Write(base::kJournalFound, bytes.size());
  rules_.Start(config_, started_at_, clock_.continued() || !bytes.empty());
  if (!rules_.known()) log_.Write(base::kPriorRulesUnknown, config_.state_folder);
  const bool owner = role == JournalFile::Role::kOwner;
  state::Serial highest = 0;
  state::ParsedJournal old = Parsed(bytes, highest);
  if (owner) {  // else what it holds is the other process's until that ends
    if (!trouble.empty()) log_.Write(base::kJournalDamaged, trouble, bytes.size(), bytes.size());
    if (!old.error.empty()) log_.Write(base::kJournalDamaged, old.error, old.valid_bytes, bytes.size());
    Add(std::move(old), recovered);
  }
  // A successor that died before it took over left its own file, for whichever process comes next.
  std::string next;
  trouble.clear();
  if ((!owner || journal_.absorbs_next()) && !journal_.ReadNext(MostJournal(config_), next, trouble)) {
    log_.Write(base::kStateFolderUnusable, config_.state_folder, trouble);
    return false;
  }
  if (!next.empty()) {
    log_.Write(base::kJournalFound, next.size());
    state::ParsedJournal more = Parsed(next, highest);
    if (!more.error.empty()) log_.Write(base::kJournalDamaged, more.error, more.valid_bytes, next.size());
    Add(std::move(more), recovered);
  }
  if (!owner) recovered.min_last_serial = highest + kSuccessorGap;
  return true;
}

// Another process serves from this folder: what it owes is its own until it ends.
void Node::StandBy() {
  successor_ = true;
  log_.Write(base::kJournalShared, config_.state_folder);
  ShareRoom(true);
  lifecycle_.SetStandby(true);
  TellCallsEnd();
  standby_timer_.Start(Lifecycle::kStandbyLimit);
}

void Node::LookForOthers() { claim_timer_.Start(kClaimEvery); }

// The process before this one has ended once its lock is free; what it still owed is resumed here. An owner
// looks whether a successor has come.
void Node::TryClaim() {
  if (successor_ && !May(Action::kTakeOver)) return;
  LookForOthers();
  if (!successor_) {
    ShareRoom(journal_.HasSuccessor());
    if (room_shared_ && lifecycle_.stopping()) HandOver();
    return;
  }
  if (journal_.Claim() != JournalFile::Role::kOwner) return;
  std::string bytes, trouble;
  if (!journal_.Read(MostJournal(config_), bytes, trouble)) {  // left as it is, and serves on as a successor
    log_.Write(base::kStateFolderUnusable, config_.state_folder, trouble);
    return claim_timer_.Start(kReadAgain);
  }
  Did(Action::kTakeOver);
  successor_ = false;
  rules_.TakeOver(loop_.Now());
  if (!rules_.known()) log_.Write(base::kPriorRulesUnknown, config_.state_folder);
  SaveRules();
  ShareRoom(false);
  state::Serial highest = 0;
  state::ParsedJournal old = Parsed(bytes, highest);
  if (!old.error.empty()) log_.Write(base::kJournalDamaged, old.error, old.valid_bytes, bytes.size());
  log_.Write(base::kJournalTakenOver, bytes.size());
  state::Recovered recovered;
  Add(std::move(old), recovered);
  recovered.now = loop_.Now();
  Push(std::move(recovered));
  if (!StartFleet()) log_.Write(base::kFleetProblem, "its address can't be used; nothing is shared");
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

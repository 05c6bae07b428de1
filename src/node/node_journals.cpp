// The journal and the ownership of the state folder: reading it at the start, standby beside a process that
// still serves, and the take-over.
#include <uv.h>

#include <optional>
#include <string>
#include <utility>

#include "base/log_events.h"
#include "node/node.h"
#include "node/resource_shares.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How often a successor checks whether its predecessor has ended. Clients that connect meanwhile wait at most
// this long.
constexpr Micros kOwnershipCheckInterval = milliseconds(20);
constexpr Micros kReadRetryInterval = seconds(1);  // after a failed read of the predecessor's journal

}  // namespace

// Reads one journal file with `read` and adds what it holds to `recovered`. Returns its size; nothing if it
// can't be read, in which case it stays as it is.
std::optional<std::size_t> Node::ReadJournal(JournalReader read, state::Recovered& recovered) {
  std::string bytes, error;
  if (!(journal_.*read)(MaxReadJournalBytes(config_), bytes, error)) {
    log_.Write(base::kStateFolderUnusable, config_.state_folder, error);
    return std::nullopt;
  }
  if (!error.empty()) log_.Write(base::kJournalDamaged, error, bytes.size(), bytes.size());
  state::ParsedJournal journal = state::ParseJournal(bytes);
  if (!journal.error.empty())
    log_.Write(base::kJournalDamaged, journal.error, journal.valid_bytes, bytes.size());
  recovered.in_doubt.merge(state::MessagesInDoubt(journal));
  for (state::Record& record : journal.records) recovered.records.push_back(std::move(record));
  return bytes.size();
}

// Reads the pending messages of the folder, which this process owns. Returns the size of the journals.
std::optional<std::size_t> Node::ReadJournals(state::Recovered& recovered) {
  const std::optional<std::size_t> size = ReadJournal(&JournalFile::Read, recovered);
  if (!size) return std::nullopt;
  log_.Write(base::kJournalFound, *size);
  if (!journal_.next_is_leftover()) return size;
  // A successor of an earlier version wrote a journal of its own, and left it if it ended before its
  // take-over.
  const std::optional<std::size_t> next_size = ReadJournal(&JournalFile::ReadNext, recovered);
  if (!next_size) return std::nullopt;
  if (*next_size > 0) log_.Write(base::kJournalFound, *next_size);
  return *size + *next_size;
}

// At the start of a process that owns the folder.
bool Node::Recover(state::Recovered& recovered) {
  const std::optional<std::size_t> size = ReadJournals(recovered);
  if (!size) return false;
  StartRules(clock_.continued() || *size > 0);
  return true;
}

void Node::StartRules(bool folder_used) {
  rules_.Start(config_, started_at_, folder_used);
  if (!rules_.prior_rules_known()) log_.Write(base::kPriorRulesUnknown, config_.state_folder);
  SaveRules();
}

// Another process serves from this folder. Until it ends, this one accepts no client, so that rules and
// limits that hold for the node as a whole depend on one process only. Returns false if this process could
// not read that one's journal, and so must not replace it.
bool Node::EnterStandby() {
  std::string bytes, error;
  if (!journal_.Read(MaxReadJournalBytes(config_), bytes, error)) {
    log_.Write(base::kStateFolderUnusable, config_.state_folder, error);
    return false;
  }
  is_successor_ = true;
  log_.Write(base::kJournalShared, config_.state_folder);
  StartRules(true);
  lifecycle_.SetStandby(true);
  standby_timer_.Start(Lifecycle::kStandbyWarningAfter);
  return true;
}

// Listens for clients. A successor's clients wait until its take-over, and the system sends new clients to
// the predecessor meanwhile; where the system can't do that, the successor begins to listen at its take-over.
int Node::ListenForClients() {
  if (const int error = server_.Listen(config_.listen); error != 0 || !is_successor_) return error;
  server_.PauseAccepting();
  if (!server_.directs_connections()) server_.StopListening();
  return 0;
}

void Node::ScheduleOwnershipCheck() { ownership_timer_.Start(kOwnershipCheckInterval); }

// A successor takes over once the predecessor's lock is free, as that process has ended then. An owner that
// stops checks whether a successor has started.
void Node::CheckFolderOwnership() {
  if (is_successor_ && !May(Action::kTakeOver)) return;
  ScheduleOwnershipCheck();
  if (is_successor_) {
    if (journal_.Claim() == JournalFile::Role::kOwner) TakeOver();
  } else if (lifecycle_.stopping() && journal_.HasSuccessor()) {
    HandOver();
  }
}

// Resumes the pending work of the predecessor and begins to serve. If the journal can't be read, this process
// stays in standby and tries again later.
void Node::TakeOver() {
  state::Recovered recovered;
  const std::optional<std::size_t> size = ReadJournals(recovered);
  if (!size) return ownership_timer_.Start(kReadRetryInterval);
  Did(Action::kTakeOver);
  is_successor_ = false;
  log_.Write(base::kJournalTakenOver, *size);
  rules_.TakeOver(loop_.Now());
  if (!rules_.prior_rules_known()) log_.Write(base::kPriorRulesUnknown, config_.state_folder);
  SaveRules();
  recovered.now = loop_.Now();
  Push(std::move(recovered));
  if (!StartFleet()) log_.Write(base::kFleetProblem, "its address can't be used; nothing is shared");
  LeaveStandby();
}

void Node::WarnOfLongStandby() { log_.Write(base::kStandbyLimit, Lifecycle::kStandbyWarningAfter); }

// From now on this process accepts clients and begins calls.
void Node::LeaveStandby() {
  standby_timer_.Stop();
  lifecycle_.SetStandby(false);
  PushCallDeadline();
  RunTurn();
  if (server_.listening()) return server_.ResumeAccepting();
  server_.ResumeAccepting();
  if (const int error = server_.Listen(config_.listen); error != 0)
    log_.Write(base::kListenFailed, config_.listen, uv_strerror(error));
}

}  // namespace indigosaddle::node

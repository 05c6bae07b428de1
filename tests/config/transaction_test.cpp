// The transactions of the configuration: single cases, and random sequences of events with a kill at any
// effect, checked against the invariants that transaction.h lists.
#include "config/transaction.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

namespace indigosaddle::config {
namespace {

using std::chrono::seconds;

// Carries out effects as the node does. Holds the last saved history and the document in force.
class SimulatedNode {
 public:
  SimulatedNode() { Start(); }

  void Start() {
    transactions.emplace(TransactionRules{seconds(10), seconds(5)});
    saved = HistoryAtStart(saved, "first", "hash", true, now);
    in_force = saved.Find(saved.kept)->document;
    killed = in_trial = false;
    Feed(Started{saved, now});
  }

  // Ends the process after `effects` more effects.
  void KillAfter(int effects) { effects_until_kill = effects; }

  void Feed(TransactionEvent event) {
    std::deque<TransactionEvent> events = {std::move(event)};
    while (!events.empty() && !killed) {
      TransactionEffects effects;
      transactions->On(events.front(), effects);
      events.pop_front();
      for (const TransactionEffect& effect : effects) {
        if (effects_until_kill >= 0 && effects_until_kill-- == 0) {
          killed = true;
          return;
        }
        CarryOut(effect, events);
      }
    }
    if (!killed) CheckInvariants();
  }

  void CarryOut(const TransactionEffect& effect, std::deque<TransactionEvent>& events) {
    if (std::holds_alternative<Save>(effect)) {
      if (save_works) saved = transactions->history();
      events.emplace_back(Saved{save_works});
    } else if (const auto* apply = std::get_if<Apply>(&effect)) {
      if (!apply->undo) {
        // A generation is saved as on trial before it is applied, and not as kept.
        RC_ASSERT(saved.on_trial == apply->number);
        RC_ASSERT(saved.kept != apply->number);
      }
      in_force = apply->document;
      events.emplace_back(Applied{apply_fails && !apply->undo ? "held" : ""});
      if (apply_fails && !apply->undo) in_force = saved.Find(saved.kept)->document;
    } else if (const auto* recheck = std::get_if<Recheck>(&effect)) {
      events.emplace_back(Rechecked{recheck->proposal, now});
    } else if (std::holds_alternative<BeginTrial>(effect)) {
      in_trial = true;
    } else if (std::holds_alternative<CancelTrial>(effect)) {
      in_trial = false;
    } else if (std::holds_alternative<EndTrial>(effect)) {
      in_trial = false;
      events.emplace_back(GuardReported{regression_at_end, true, "the end"});
    } else if (const auto* timer = std::get_if<ArmTimer>(&effect)) {
      timer_at = timer->at;
    } else if (const auto* answer = std::get_if<Answer>(&effect)) {
      ++answers[answer->ticket];
    }
  }

  void CheckInvariants() const {
    const History& history = transactions->history();
    RC_ASSERT(history.generations.size() <= kMaxGenerations);
    const Generation* kept = history.Find(history.kept);
    RC_ASSERT(kept != nullptr);
    RC_ASSERT(kept->result == GenerationResult::kKept);
    if (history.on_trial != 0) {
      RC_ASSERT(history.Find(history.on_trial)->result == GenerationResult::kOnTrial);
    }
    const Generation* running = transactions->on_trial() ? history.Find(history.on_trial) : kept;
    RC_ASSERT(running->document == in_force);
  }

  Micros now{seconds(1000)}, timer_at{0};
  std::optional<Transactions> transactions;
  History saved;
  std::string in_force;
  std::map<std::uint64_t, int> answers;
  bool killed = false, in_trial = false, save_works = true, apply_fails = false, regression_at_end = false;
  int effects_until_kill = -1;
};

Proposal MakeProposal(std::uint64_t ticket, const std::string& document, bool queue_if_busy = false) {
  Proposal proposal;
  proposal.ticket = ticket;
  proposal.author = "test";
  proposal.document = document;
  proposal.queue_if_busy = queue_if_busy;
  return proposal;
}

TEST(Transactions, AGoodChangeIsKeptAfterItsTrial) {
  SimulatedNode node;
  node.Feed(Proposed{MakeProposal(1, "second"), node.now});
  EXPECT_EQ(node.in_force, "second");
  EXPECT_EQ(node.answers[1], 1);
  EXPECT_EQ(node.saved.Find(node.saved.kept)->document, "first");
  node.now = node.timer_at;
  node.Feed(TimerFired{node.now});
  EXPECT_EQ(node.saved.Find(node.saved.kept)->document, "second");
  // A rollback goes back to the generation that was kept before, with a trial of its own.
  node.Feed(RollbackRequested{2, 0, "test", "", node.now});
  EXPECT_EQ(node.in_force, "first");
  EXPECT_TRUE(node.transactions->on_trial());
}

TEST(Transactions, ARegressionUndoesTheChangeAtOnce) {
  SimulatedNode node;
  node.Feed(Proposed{MakeProposal(1, "second"), node.now});
  node.Feed(GuardReported{true, false, "a burst"});
  EXPECT_EQ(node.in_force, "first");
  EXPECT_FALSE(node.in_trial);
  EXPECT_EQ(node.saved.generations.back().result, GenerationResult::kUndone);
  EXPECT_EQ(node.saved.generations.back().result_reason, "a burst");
}

TEST(Transactions, ASecondChangeDuringATrialIsRefusedOrQueued) {
  SimulatedNode node;
  node.Feed(Proposed{MakeProposal(1, "second"), node.now});
  node.Feed(Proposed{MakeProposal(2, "third"), node.now});
  EXPECT_EQ(node.answers[2], 1);
  for (std::uint64_t ticket = 3; ticket < 3 + kMaxQueuedProposals + 1; ++ticket) {
    node.Feed(Proposed{MakeProposal(ticket, "queued " + std::to_string(ticket), true), node.now});
  }
  EXPECT_EQ(node.answers[3 + kMaxQueuedProposals], 1);  // the queue is full
  EXPECT_EQ(node.answers[3], 0);
  EXPECT_EQ(node.in_force, "second");
  node.now = node.timer_at;
  node.Feed(TimerFired{node.now});
  EXPECT_EQ(node.in_force, "queued 3");
  EXPECT_EQ(node.answers[3], 1);
  node.Feed(StopRequested{});
  EXPECT_EQ(node.answers[4], 1);  // a queued proposal is refused at a stop
}

TEST(Transactions, AChangeThatCannotBeSavedIsNotApplied) {
  SimulatedNode node;
  node.save_works = false;
  node.Feed(Proposed{MakeProposal(1, "second"), node.now});
  EXPECT_EQ(node.in_force, "first");
  EXPECT_EQ(node.answers[1], 1);
  EXPECT_FALSE(node.transactions->on_trial());
  node.save_works = true;
  node.Feed(Proposed{MakeProposal(2, "third"), node.now});
  node.save_works = false;  // now it can't be saved as kept: it stays in force and is saved later
  node.now = node.timer_at;
  node.Feed(TimerFired{node.now});
  EXPECT_EQ(node.in_force, "third");
  EXPECT_EQ(node.saved.Find(node.saved.kept)->document, "first");
  node.save_works = true;
  node.now = node.timer_at;
  node.Feed(TimerFired{node.now});
  EXPECT_EQ(node.saved.Find(node.saved.kept)->document, "third");
}

TEST(Transactions, AnInterruptedTrialIsResumedAfterOneCrashOrAnyPlannedStop) {
  SimulatedNode node;
  node.Feed(Proposed{MakeProposal(1, "second"), node.now});
  node.Feed(StopRequested{});
  node.Start();
  EXPECT_EQ(node.in_force, "first");
  const auto resume_trial = [&] {
    node.now = node.timer_at;
    node.Feed(TimerFired{node.now});
  };
  resume_trial();
  EXPECT_EQ(node.in_force, "second");
  EXPECT_EQ(node.saved.generations.back().crashes_on_trial, 0);
  node.Start();  // killed
  resume_trial();
  EXPECT_EQ(node.in_force, "second");
  node.Start();  // killed again
  EXPECT_EQ(node.in_force, "first");
  EXPECT_EQ(node.saved.generations.back().result, GenerationResult::kUndone);
  node.now += seconds(1000);
  node.Feed(TimerFired{node.now});
  EXPECT_EQ(node.in_force, "first");
}

TEST(Transactions, AStartAdoptsTheFileOnlyIfItIsNewAndUsable) {
  const History one = HistoryAtStart({}, "first", "h1", true, seconds(1));
  EXPECT_EQ(one.Find(one.kept)->document, "first");
  EXPECT_EQ(HistoryAtStart(one, "first", "h1", true, seconds(2)).generations.size(), 1u);
  EXPECT_EQ(HistoryAtStart(one, "bad", "h2", false, seconds(2)).Find(one.kept)->document, "first");
  const History two = HistoryAtStart(one, "second", "h2", true, seconds(2));
  EXPECT_EQ(two.Find(two.kept)->document, "second");
  EXPECT_EQ(two.kept, 2u);
}

RC_GTEST_PROP(Transactions, AnySequenceWithKillsAnywhereKeepsTheInvariants, ()) {
  SimulatedNode node;
  std::uint64_t ticket = 0;
  for (int step = *rc::gen::inRange(1, 40); step > 0; --step) {
    node.now += seconds(*rc::gen::inRange(0, 8));
    if (*rc::gen::inRange(0, 6) == 0) node.KillAfter(*rc::gen::inRange(0, 6));
    node.save_works = *rc::gen::inRange(0, 8) != 0;
    node.apply_fails = *rc::gen::inRange(0, 8) == 0;
    node.regression_at_end = *rc::gen::inRange(0, 4) == 0;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1: {
        ++ticket;
        Proposal proposal =
            MakeProposal(ticket, "doc " + std::to_string(ticket), *rc::gen::arbitrary<bool>());
        if (*rc::gen::inRange(0, 4) == 0) proposal.faults = {"bad"};
        proposal.no_change = *rc::gen::inRange(0, 6) == 0;
        node.Feed(Proposed{proposal, node.now});
        break;
      }
      case 2: node.Feed(GuardReported{*rc::gen::arbitrary<bool>(), false, "looked"}); break;
      case 3: node.Feed(TimerFired{std::max(node.now, node.timer_at)}); break;
      case 4: node.Feed(RollbackRequested{++ticket, 0, "test", "", node.now}); break;
      default: node.Feed(StopRequested{}); break;
    }
    for (const auto& [number, count] : node.answers) RC_ASSERT(count <= 1);
    const bool stop = *rc::gen::inRange(0, 10) == 0;
    // The saved state is complete at any step: the next process serves its kept generation.
    if (node.killed || stop) {
      const std::string kept = node.saved.Find(node.saved.kept)->document;
      node.effects_until_kill = -1;
      node.save_works = true;
      node.Start();
      RC_ASSERT(node.in_force == kept);
    }
  }
}

}  // namespace
}  // namespace indigosaddle::config

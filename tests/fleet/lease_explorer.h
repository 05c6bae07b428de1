// An exhaustive state-space explorer of the lease protocol: the production Acceptor and Proposer, three
// voters of which two propose, and every interleaving of deliveries, losses, duplicates, restarts, releases
// and the passing of time, up to a depth. Sent messages stay in the network for ever: one that is never
// delivered is lost, one that is delivered again is duplicated. For each invariant this harness has mutants
// that it must catch.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "fleet/acceptor.h"
#include "fleet/proposer.h"

namespace indigosaddle::fleet {
constexpr int kVoters = 3, kProposers = 2;
inline const std::vector<std::string> kNames = {"a", "b", "c"};
constexpr double kDrift = 0.1;
// The worst clocks that the drift bound allows: the first holder's is slow, the other voters' are fast.
constexpr std::array<double, kVoters> kRates = {1 - kDrift, 1 + kDrift, 1 + kDrift};

// Faults put into the protocol: no allowance for clock drift; a restarted voter answers at once; late answers
// count for the current round; a released lease is held on; a restarted voter has lost its promises.
enum class Mutant { kNone, kNoDrift, kNoSilence, kNoRounds, kReleaseFirst, kForgetPromises };

struct Message {
  int from, to;
  LeaseMessage body;
  auto Key() const {
    return std::tuple(from, to, static_cast<int>(body.kind), body.ballot, body.round, body.accepted);
  }
  bool operator<(const Message& other) const { return Key() < other.Key(); }
};

struct State {
  std::vector<Acceptor> acceptors;
  std::vector<Proposer> proposers;
  std::set<Message> network;
  int restarts = 0, releases = 0;
  Micros now{0};
  std::uint64_t epoch = 0;  // highest epoch held so far, and by whom
  int holder = -1;
  std::array<std::uint64_t, kProposers> rounds{};
};

class Explorer {
 public:
  Explorer(Mutant mutant, int depth, std::size_t max_states)
      : mutant_(mutant), depth_(depth), max_states_(max_states) {
    timing_.lease = Micros(1000);
    timing_.drift = mutant == Mutant::kNoDrift ? 0 : kDrift;
  }

  void Run() {
    State first;
    first.now = Micros(2000);
    for (int i = 0; i < kVoters; ++i) {
      std::vector<std::string> others = kNames;
      others.erase(others.begin() + i);
      VoterMemory memory;
      memory.complete = true;
      first.acceptors.emplace_back(others, timing_, memory, Micros(0));  // started long ago
    }
    for (int i = 0; i < kProposers; ++i) {
      first.proposers.push_back(NewProposer(i, 1));
      Proposer::LeaseMessages none;
      first.proposers.back().SetWanted(true, Local(first, i) - timing_.lease, none);
    }
    // Start states: the first proposer has just acquired the lease from itself and one other voter; its
    // messages to the third voter are still in the network.
    std::deque<std::pair<State, int>> queue;
    for (int helper = 1; helper < kVoters; ++helper) {
      State state = first;
      Proposer::LeaseMessages messages;
      state.proposers[0].Tick(Local(state, 0), messages);
      Dispatch(state, 0, messages);
      for (const LeaseKind kind : {LeaseKind::kPrepare, LeaseKind::kPropose}) {
        const auto network = state.network;
        for (const Message& message : network)
          if (message.to == helper && message.body.kind == kind) Deliver(state, message, true);
      }
      ASSERT_TRUE(state.proposers[0].Holds(Local(state, 0)));
      Add(queue, std::move(state), 0);
    }
    while (!queue.empty() && violation.empty() && states < max_states_) {
      const auto [state, depth] = std::move(queue.front());
      queue.pop_front();
      max_depth_reached = std::max(max_depth_reached, depth);
      if (depth < depth_) Expand(queue, state, depth + 1);
    }
  }

  std::size_t states = 0;
  int max_depth_reached = 0;
  std::set<int> holders_seen;  // proposers that held the lease in any state
  std::string violation;

 private:
  using Queue = std::deque<std::pair<State, int>>;

  Proposer NewProposer(int i, std::uint64_t start) const {
    return {kNames[static_cast<std::size_t>(i)], start, "x", kNames, timing_,
            7 + static_cast<std::uint64_t>(i),   0};
  }
  static Micros Local(const State& state, int i) {
    return Micros(static_cast<std::int64_t>(static_cast<double>(state.now.count()) *
                                            kRates[static_cast<std::size_t>(i)]));
  }
  static Acceptor& VoterOf(State& state, int i) { return state.acceptors[static_cast<std::size_t>(i)]; }

  // Messages to itself are answered at once, as FleetMember does; others go into the network.
  void Dispatch(State& state, int from, const Proposer::LeaseMessages& messages) const {
    Proposer::LeaseMessages more;
    Proposer& own = state.proposers[static_cast<std::size_t>(from)];
    for (const auto& [name, body] : messages) {
      const int to = static_cast<int>(std::find(kNames.begin(), kNames.end(), name) - kNames.begin());
      state.rounds[static_cast<std::size_t>(from)] = body.round;
      if (to != from) {
        state.network.insert({from, to, body});
        continue;
      }
      bool persist = false;
      if (const auto answer = VoterOf(state, to).Answer(body, Local(state, to), persist))
        own.OnMessage(name, *answer, Local(state, from), more);
    }
    if (!more.empty()) Dispatch(state, from, more);
  }

  // A request is answered, and the answer delivered, in one step; the answer stays in the network to be
  // delivered again. A delayed answer is covered by the steps in which the request itself is delayed.
  void Deliver(State& state, const Message& message, bool and_answer) const {
    const bool question = message.body.kind == LeaseKind::kPrepare ||
                          message.body.kind == LeaseKind::kPropose ||
                          message.body.kind == LeaseKind::kRelease;
    if (question) {
      bool persist = false;
      const auto answer = VoterOf(state, message.to).Answer(message.body, Local(state, message.to), persist);
      if (!answer) return;
      const Message back{message.to, message.from, *answer};
      state.network.insert(back);
      if (and_answer) Deliver(state, back, false);
      return;
    }
    Proposer::LeaseMessages messages;
    LeaseMessage body = message.body;
    if (mutant_ == Mutant::kNoRounds) body.round = state.rounds[static_cast<std::size_t>(message.to)];
    state.proposers[static_cast<std::size_t>(message.to)].OnMessage(
        kNames[static_cast<std::size_t>(message.from)], body, Local(state, message.to), messages);
    Dispatch(state, message.to, messages);
  }

  // The process of a voter dies and restarts: it keeps its promises, and nothing else.
  void Restart(State& state, int i) const {
    ++state.restarts;
    std::vector<std::string> others = kNames;
    others.erase(others.begin() + i);
    VoterMemory memory = VoterOf(state, i).memory();
    if (mutant_ == Mutant::kForgetPromises) memory.promised.clear();
    const Micros since = mutant_ == Mutant::kNoSilence ? Micros(-100000) : Local(state, i);
    VoterOf(state, i) = Acceptor(others, timing_, memory, since);
    if (i >= kProposers) return;
    state.proposers[static_cast<std::size_t>(i)] = NewProposer(i, 2);
    Proposer::LeaseMessages none;
    state.proposers[static_cast<std::size_t>(i)].SetWanted(true, Local(state, i) - timing_.lease, none);
  }

  void Expand(Queue& queue, const State& state, int depth) {
    for (int i = 0; i < kProposers; ++i) {
      State next = state;
      Proposer::LeaseMessages messages;
      next.proposers[static_cast<std::size_t>(i)].Tick(Local(next, i), messages);
      Dispatch(next, i, messages);
      Add(queue, std::move(next), depth);
    }
    for (const Message& message : state.network) {
      State next = state;
      Deliver(next, message, true);
      Add(queue, std::move(next), depth);
    }
    State later = state;
    later.now += timing_.lease / 2;
    Add(queue, std::move(later), depth);
    for (int i = 0; i < kVoters && state.restarts < 1; ++i) {
      State next = state;
      Restart(next, i);
      Add(queue, std::move(next), depth);
    }
    for (int i = 0; i < kProposers && state.releases < 1; ++i) {
      State next = state;
      ++next.releases;
      Proposer::LeaseMessages messages;
      Proposer& own = next.proposers[static_cast<std::size_t>(i)];
      if (!own.Holds(Local(next, i))) continue;
      Proposer after = own;
      after.SetWanted(false, Local(next, i), messages);
      if (mutant_ != Mutant::kReleaseFirst) own = after;
      Dispatch(next, i, messages);
      Add(queue, std::move(next), depth);
    }
  }

  std::string Key(const State& state) const {
    std::string key = std::to_string(state.now.count()) + '/' + std::to_string(state.restarts) +
                      std::to_string(state.releases) + '/' + std::to_string(state.epoch);
    for (const Acceptor& acceptor : state.acceptors) key += '\n' + acceptor.StateKey();
    for (const Proposer& proposer : state.proposers) key += '\n' + proposer.StateKey();
    for (const Message& m : state.network) {
      key += '\n' + std::to_string(m.from) + std::to_string(m.to) +
             std::to_string(static_cast<int>(m.body.kind)) + ' ' + std::to_string(m.body.ballot.counter) +
             m.body.ballot.proposer + std::to_string(m.body.ballot.start) + ' ' +
             std::to_string(m.body.round) + ' ' + std::to_string(m.body.accepted.counter) +
             m.body.accepted.proposer;
    }
    return key;
  }

  void Add(Queue& queue, State&& state, int depth) {
    std::vector<int> holders;
    for (int i = 0; i < kProposers; ++i)
      if (state.proposers[static_cast<std::size_t>(i)].Holds(Local(state, i)))
        holders.push_back(i), holders_seen.insert(i);
    if (holders.size() > 1) violation = "two holders at depth " + std::to_string(depth);
    if (holders.size() == 1) {
      const int one = holders.front();
      const std::uint64_t epoch = state.proposers[static_cast<std::size_t>(one)].epoch();
      if (epoch < state.epoch || (epoch == state.epoch && state.holder >= 0 && state.holder != one))
        violation = "epoch " + std::to_string(epoch) + " after " + std::to_string(state.epoch);
      state.epoch = epoch, state.holder = one;
    }
    if (!seen_.insert(std::hash<std::string>()(Key(state))).second) return;
    ++states;
    queue.emplace_back(std::move(state), depth);
  }

  Timing timing_;
  const Mutant mutant_;
  const int depth_;
  const std::size_t max_states_;
  std::unordered_set<std::size_t> seen_;
};

}  // namespace indigosaddle::fleet

// A small exhaustive explorer of the lease: the production Acceptor and Proposer, three voters of which two
// want the lease, and every interleaving of deliveries, losses, repeats, restarts, releases and the passing
// of time, up to a depth. Sent messages stay in the network for ever: not delivered they are lost, delivered
// again doubled. For each invariant there are mutants, made in this harness, that it must catch.
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
constexpr int kVoters = 3, kWanting = 2;
inline const std::vector<std::string> kNames = {"a", "b", "c"};
constexpr double kDrift = 0.1;
// Clocks as far off as the bound allows, for the worst: the first holder's is slow, the voters' are fast.
constexpr std::array<double, kVoters> kRates = {1 - kDrift, 1 + kDrift, 1 + kDrift};

enum class Mutant { kNone, kNoDrift, kNoSilence, kNoRounds, kReleaseFirst, kForgets };

struct Message {
  int from, to;
  LeaseWord word;
  auto Key() const {
    return std::tuple(from, to, static_cast<int>(word.kind), word.ballot, word.round, word.accepted);
  }
  bool operator<(const Message& other) const { return Key() < other.Key(); }
};

struct State {
  std::vector<Acceptor> acceptors;
  std::vector<Proposer> proposers;
  std::set<Message> network;
  int restarts = 0, releases = 0;
  Micros now{0};
  std::uint64_t epoch = 0;  // highest held so far, and by whom
  int holder = -1;
  std::array<std::uint64_t, kWanting> rounds{};
};

class Explorer {
 public:
  Explorer(Mutant mutant, int depth, std::size_t most) : mutant_(mutant), depth_(depth), most_(most) {
    pace_.lease = Micros(1000);
    pace_.drift = mutant == Mutant::kNoDrift ? 0 : kDrift;
  }

  void Run() {
    State first;
    first.now = Micros(2000);
    for (int i = 0; i < kVoters; ++i) {
      std::vector<std::string> others = kNames;
      others.erase(others.begin() + i);
      Memory memory;
      memory.sure = true;
      first.acceptors.emplace_back(others, pace_, memory, Micros(0));  // long awake
    }
    for (int i = 0; i < kWanting; ++i) {
      first.proposers.push_back(Fresh(i, 1));
      Proposer::Words none;
      first.proposers.back().Want(true, Local(first, i) - pace_.lease, none);
    }
    // The walk begins where the first has just got the lease, by itself and one other voter; what it asked
    // the third is still on its way.
    std::deque<std::pair<State, int>> queue;
    for (int helper = 1; helper < kVoters; ++helper) {
      State state = first;
      Proposer::Words words;
      state.proposers[0].Tick(Local(state, 0), words);
      Carry(state, 0, words);
      for (const LeaseKind kind : {LeaseKind::kPrepare, LeaseKind::kPropose}) {
        const auto network = state.network;
        for (const Message& message : network)
          if (message.to == helper && message.word.kind == kind) Deliver(state, message, true);
      }
      ASSERT_TRUE(state.proposers[0].Holds(Local(state, 0)));
      Add(queue, std::move(state), 0);
    }
    while (!queue.empty() && broken.empty() && states < most_) {
      const auto [state, depth] = std::move(queue.front());
      queue.pop_front();
      deepest = std::max(deepest, depth);
      if (depth < depth_) Expand(queue, state, depth + 1);
    }
  }

  std::size_t states = 0;
  int deepest = 0;
  std::set<int> held;  // who held it in any state
  std::string broken;

 private:
  using Queue = std::deque<std::pair<State, int>>;

  Proposer Fresh(int i, std::uint64_t start) const {
    return {kNames[static_cast<std::size_t>(i)], start, "x", kNames, pace_,
            7 + static_cast<std::uint64_t>(i),   0};
  }
  static Micros Local(const State& state, int i) {
    return Micros(static_cast<std::int64_t>(static_cast<double>(state.now.count()) *
                                            kRates[static_cast<std::size_t>(i)]));
  }
  static Acceptor& VoterOf(State& state, int i) { return state.acceptors[static_cast<std::size_t>(i)]; }

  // Words to itself are answered on the spot, as Fleet does; others go into the network.
  void Carry(State& state, int from, const Proposer::Words& words) const {
    Proposer::Words more;
    Proposer& own = state.proposers[static_cast<std::size_t>(from)];
    for (const auto& [name, word] : words) {
      const int to = static_cast<int>(std::find(kNames.begin(), kNames.end(), name) - kNames.begin());
      state.rounds[static_cast<std::size_t>(from)] = word.round;
      if (to != from) {
        state.network.insert({from, to, word});
        continue;
      }
      bool remember = false;
      if (const auto answer = VoterOf(state, to).Answer(word, Local(state, to), remember))
        own.On(name, *answer, Local(state, from), more);
    }
    if (!more.empty()) Carry(state, from, more);
  }

  // A question is answered, and the answer delivered, in one step; the answer stays in the network to come
  // again. One that comes late only is covered by the steps in which the question itself does.
  void Deliver(State& state, const Message& message, bool and_answer) const {
    const bool question = message.word.kind == LeaseKind::kPrepare ||
                          message.word.kind == LeaseKind::kPropose ||
                          message.word.kind == LeaseKind::kRelease;
    if (question) {
      bool remember = false;
      const auto answer = VoterOf(state, message.to).Answer(message.word, Local(state, message.to), remember);
      if (!answer) return;
      const Message back{message.to, message.from, *answer};
      state.network.insert(back);
      if (and_answer) Deliver(state, back, false);
      return;
    }
    Proposer::Words words;
    LeaseWord word = message.word;
    if (mutant_ == Mutant::kNoRounds) word.round = state.rounds[static_cast<std::size_t>(message.to)];
    state.proposers[static_cast<std::size_t>(message.to)].On(kNames[static_cast<std::size_t>(message.from)],
                                                             word, Local(state, message.to), words);
    Carry(state, message.to, words);
  }

  // The process of a voter dies and comes back: it remembers its promises, and nothing else.
  void Restart(State& state, int i) const {
    ++state.restarts;
    std::vector<std::string> others = kNames;
    others.erase(others.begin() + i);
    Memory memory = VoterOf(state, i).memory();
    if (mutant_ == Mutant::kForgets) memory.promised.clear();
    const Micros since = mutant_ == Mutant::kNoSilence ? Micros(-100000) : Local(state, i);
    VoterOf(state, i) = Acceptor(others, pace_, memory, since);
    if (i >= kWanting) return;
    state.proposers[static_cast<std::size_t>(i)] = Fresh(i, 2);
    Proposer::Words none;
    state.proposers[static_cast<std::size_t>(i)].Want(true, Local(state, i) - pace_.lease, none);
  }

  void Expand(Queue& queue, const State& state, int depth) {
    for (int i = 0; i < kWanting; ++i) {
      State next = state;
      Proposer::Words words;
      next.proposers[static_cast<std::size_t>(i)].Tick(Local(next, i), words);
      Carry(next, i, words);
      Add(queue, std::move(next), depth);
    }
    for (const Message& message : state.network) {
      State next = state;
      Deliver(next, message, true);
      Add(queue, std::move(next), depth);
    }
    State later = state;
    later.now += pace_.lease / 2;
    Add(queue, std::move(later), depth);
    for (int i = 0; i < kVoters && state.restarts < 1; ++i) {
      State next = state;
      Restart(next, i);
      Add(queue, std::move(next), depth);
    }
    for (int i = 0; i < kWanting && state.releases < 1; ++i) {
      State next = state;
      ++next.releases;
      Proposer::Words words;
      Proposer& own = next.proposers[static_cast<std::size_t>(i)];
      if (!own.Holds(Local(next, i))) continue;
      Proposer after = own;
      after.Want(false, Local(next, i), words);
      if (mutant_ != Mutant::kReleaseFirst) own = after;
      Carry(next, i, words);
      Add(queue, std::move(next), depth);
    }
  }

  std::string Key(const State& state) const {
    std::string key = std::to_string(state.now.count()) + '/' + std::to_string(state.restarts) +
                      std::to_string(state.releases) + '/' + std::to_string(state.epoch);
    for (const Acceptor& acceptor : state.acceptors) key += '\n' + acceptor.State();
    for (const Proposer& proposer : state.proposers) key += '\n' + proposer.State();
    for (const Message& m : state.network) {
      key += '\n' + std::to_string(m.from) + std::to_string(m.to) +
             std::to_string(static_cast<int>(m.word.kind)) + ' ' + std::to_string(m.word.ballot.counter) +
             m.word.ballot.proposer + std::to_string(m.word.ballot.start) + ' ' +
             std::to_string(m.word.round) + ' ' + std::to_string(m.word.accepted.counter) +
             m.word.accepted.proposer;
    }
    return key;
  }

  void Add(Queue& queue, State&& state, int depth) {
    std::vector<int> holders;
    for (int i = 0; i < kWanting; ++i)
      if (state.proposers[static_cast<std::size_t>(i)].Holds(Local(state, i)))
        holders.push_back(i), held.insert(i);
    if (holders.size() > 1) broken = "two holders at depth " + std::to_string(depth);
    if (holders.size() == 1) {
      const int one = holders.front();
      const std::uint64_t epoch = state.proposers[static_cast<std::size_t>(one)].epoch();
      if (epoch < state.epoch || (epoch == state.epoch && state.holder >= 0 && state.holder != one))
        broken = "epoch " + std::to_string(epoch) + " after " + std::to_string(state.epoch);
      state.epoch = epoch, state.holder = one;
    }
    if (!seen_.insert(std::hash<std::string>()(Key(state))).second) return;
    ++states;
    queue.emplace_back(std::move(state), depth);
  }

  Timing pace_;
  const Mutant mutant_;
  const int depth_;
  const std::size_t most_;
  std::unordered_set<std::size_t> seen_;
};

}  // namespace indigosaddle::fleet

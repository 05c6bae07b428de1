// A fleet of decision engines on one virtual clock that all call one scripted destination, for faults that
// only the sum of many senders shows. Calls are counted per 100 ms. Every draw comes from a seed, so runs
// repeat.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "test_node.h"

namespace indigosaddle::testing {

// Settings of a node in a large fleet: few call slots, short deadlines, a long cold time.
inline Settings LargeFleetSettings() {
  Settings s = BaseSettings();
  s.call_slots = 6;
  s.max_open = 60;
  s.max_attempts = 12;
  s.classes[0].aim = milliseconds(2500);
  s.classes[0].deadline = s.classes[0].key_ttl = seconds(12);
  s.cold = seconds(14);
  s.cold_from = 0.23;
  return s;
}

// Script of the destination and of the faults in a run. The destination limits its rate with a token bucket
// that refused calls drain as well, down to a debt.
struct FleetScript {
  // How calls end during the outage. kFailing: nine calls of ten fail. kRefusingFromLimit: every call is
  // refused, uses up the limit and reports it, as refusals past the limit do.
  enum class Outage { kDown, kHung, kRefusing, kFailing, kRefusingFromLimit };

  double rate = 40;            // limit in calls a second
  double burst_seconds = 0.7;  // the bucket saves at most this many seconds of the rate
  double debt_seconds = 0.6;   // and owes at most this many
  double lowered_share = 1;    // share of the rate that is left from lowered_from to lowered_to
  Micros lowered_from{0};
  Micros lowered_to{0};
  Micros outage_from{0};
  Micros outage_to{0};
  Outage outage = Outage::kDown;
  // The busiest sender gets (1 + uneven) times an even part of the demand, the least busy one (1 - uneven)
  // times.
  double uneven = 0;
  bool reports_limit = true;  // answers carry the limit and the share left
  // At this time the first senders, by their number, are killed and started again with the messages they
  // held.
  Micros restart_at{0};
  double restarted_share = 0;  // share of the senders
};

// The senders, the destination and the clock.
class SimulatedFleet {
 public:
  // Calls that arrived in one interval.
  struct CallCounts {
    int served = 0;
    int refused = 0;
    int failed = 0;
    int from_senders_in_outage = 0;  // of all three: from senders that had seen a call fail in the outage
    int total() const { return served + refused + failed; }
  };

  SimulatedFleet(int nodes, Settings settings, FleetScript script, std::uint64_t seed = 12345)
      : script_(script), tokens_(script.rate * script.burst_seconds), random_(seed) {
    settings_ = settings;
    settings_.senders = nodes;
    for (int i = 0; i < nodes; ++i) {
      settings_.seed = static_cast<std::uint64_t>(i) + 1 + (seed - 12345) * 1000;
      nodes_.emplace_back();
      Start(nodes_.back());
    }
  }

  // Continues the run to `until`. Messages arrive at random, `demand` a second over all nodes.
  void Run(Micros until, double demand) {
    for (; now_ < until; now_ += kStep) {
      tokens_ = std::min(Rate() * script_.burst_seconds, tokens_ + Rate() * kStepSeconds);
      if (now_ == script_.restart_at) {
        const auto count =
            static_cast<std::size_t>(script_.restarted_share * static_cast<double>(nodes_.size()));
        for (std::size_t i = 0; i < count; ++i) Restart(nodes_[i]);
      }
      for (Node& node : nodes_) Step(node, demand);
    }
  }

  // Calls that arrived in [from, to), in whole intervals of 100 ms.
  CallCounts Between(Micros from, Micros to) const {
    CallCounts sum;
    for (auto it = counts_.lower_bound(from / kInterval); it != counts_.end() && it->first < to / kInterval;
         ++it) {
      sum.served += it->second.served;
      sum.refused += it->second.refused;
      sum.failed += it->second.failed;
      sum.from_senders_in_outage += it->second.from_senders_in_outage;
    }
    return sum;
  }
  const FleetScript& script() const { return script_; }

 private:
  static constexpr Micros kStep = milliseconds(10), kInterval = milliseconds(100),
                          kAnswerLatency = milliseconds(40);
  static constexpr double kStepSeconds = std::chrono::duration<double>(kStep).count();

  // One sender.
  struct Node {
    std::unique_ptr<TestNode> node;
    std::multimap<Micros, std::pair<MessageId, Reply>> pending_replies;  // by the time they arrive
    std::size_t sends_seen = 0;                // of node->sends, those that have reached the destination
    std::map<MessageId, Message> undelivered;  // what its journal would hold
    bool saw_outage = false;                   // one of its calls failed in the outage
  };

  void Start(Node& node) {
    node.node = std::make_unique<TestNode>(settings_);
    node.pending_replies.clear();
    node.sends_seen = 0;
    node.node->Turn(now_, [&] { node.node->UpdateList({TestNode::MakeEndpoint(7, "a")}); });
  }

  // Kills a sender and starts it with what its journal holds: calls that were in flight may have run.
  void Restart(Node& node) {
    const std::map<MessageId, int> ended = node.node->answers;
    settings_.seed += 7919;
    Start(node);
    std::erase_if(node.undelivered, [&](const auto& entry) {
      return ended.contains(entry.first) || entry.second.deadline <= now_;
    });
    node.node->Turn(now_, [&] {
      for (const auto& [id, message] : node.undelivered) node.node->brain().OnMessage(message);
    });
  }

  // The destination's limit at the present time, in calls a second.
  double Rate() const {
    return script_.rate *
           (now_ >= script_.lowered_from && now_ < script_.lowered_to ? script_.lowered_share : 1);
  }

  // One turn of one sender: replies that are due, perhaps a new message, and its calls to the destination.
  void Step(Node& sender, double demand) {
    TestNode& node = *sender.node;
    const auto count = static_cast<double>(nodes_.size());
    // From -1 for the first sender to 1 for the last one.
    const double position =
        count > 1 ? 2 * static_cast<double>(&sender - nodes_.data()) / (count - 1) - 1 : 0;
    const double probability = demand / count * (1 + script_.uneven * position) * kStepSeconds;
    node.Turn(now_, [&] {
      while (!sender.pending_replies.empty() && sender.pending_replies.begin()->first <= now_) {
        const auto [id, reply] = sender.pending_replies.begin()->second;
        sender.pending_replies.erase(sender.pending_replies.begin());
        node.ReportOutcome(id, reply, reply.result == Result::kOk);
        if (reply.result == Result::kOk) sender.undelivered.erase(id);
        const bool in_outage = now_ >= script_.outage_from && now_ < script_.outage_to;
        if (reply.result == Result::kTimeout || (reply.result != Result::kOk && in_outage))
          sender.saw_outage = true;
      }
      if (std::generate_canonical<double, 53>(random_) < probability) {
        node.Enqueue(++last_id_, 7, seconds(12));
        sender.undelivered[last_id_] = {last_id_, 0, 0, "", now_ + seconds(12), 7};
        sender.undelivered[last_id_].rules = settings_.classes[0];
      }
    });
    for (; sender.sends_seen < node.sends.size(); ++sender.sends_seen) {
      const SendRecord& sent = node.sends[sender.sends_seen];
      ++sender.undelivered[sent.id].past.attempts;
      counts_[now_ / kInterval].from_senders_in_outage += sender.saw_outage ? 1 : 0;
      const Reply reply = AnswerCall();
      const Micros latency = reply.result == Result::kTimeout ? sent.timeout : kAnswerLatency;
      sender.pending_replies.emplace(now_ + latency, std::pair(sent.id, reply));
    }
  }

  // Counts a call that arrives now and says how it ends.
  Reply AnswerCall() {
    CallCounts& counts = counts_[now_ / kInterval];
    if (now_ >= script_.outage_from && now_ < script_.outage_to) {
      using Outage = FleetScript::Outage;
      if (script_.outage == Outage::kRefusingFromLimit) {
        tokens_ = std::max(tokens_ - 1, -Rate() * script_.debt_seconds);
        ++counts.failed;
        return {Result::kRefused, kAnswerLatency, Micros(0), Rate(),
                std::max(0.0, tokens_ / Rate() / script_.burst_seconds)};
      }
      const bool spared =
          script_.outage == Outage::kFailing && std::generate_canonical<double, 53>(random_) < 0.1;
      if (!spared) {
        ++counts.failed;
        return Reply{script_.outage == Outage::kDown       ? Result::kNoConnection
                     : script_.outage == Outage::kHung     ? Result::kTimeout
                     : script_.outage == Outage::kRefusing ? Result::kRefused
                                                           : Result::kError};
      }
    }
    const bool ok = tokens_ >= 1;
    tokens_ = std::max(tokens_ - 1, -Rate() * script_.debt_seconds);
    ok ? ++counts.served : ++counts.refused;
    if (!script_.reports_limit) return {ok ? Result::kOk : Result::kRefused, kAnswerLatency};
    return {ok ? Result::kOk : Result::kRefused, kAnswerLatency, Micros(0), Rate(),
            std::max(0.0, tokens_ / Rate() / script_.burst_seconds)};
  }

  FleetScript script_;
  Settings settings_;  // of the sender that is started next
  double tokens_;      // of the destination's bucket, in calls; negative: a debt
  Micros now_ = kStep;
  MessageId last_id_ = 0;
  std::vector<Node> nodes_;
  std::map<std::int64_t, CallCounts> counts_;  // by the interval's number
  std::mt19937_64 random_;
};

}  // namespace indigosaddle::testing

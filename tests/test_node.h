// One instance of the module in a test's hands: turns and outcomes by script, actions on record.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "brain.h"

namespace indigosaddle::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SendRecord {
  MessageId id = 0;
  EndpointId endpoint;
  Micros timeout{0};
  Micros at{0};
  bool settled = false;
};

struct Reply {
  Result result = Result::kOk;
  Micros after{milliseconds(100)};
  Micros wait{0};
  double limit = -1;
  double left = -1;
};

// Settings of no real deployment: two senders, one keyed class, one kind with shared and one with apart
// routes.
inline Settings BaseSettings() {
  Settings s;
  s.senders = 2;
  s.call_slots = 8;
  s.max_open = 200;
  s.max_attempts = 20;
  s.cold_from = 0.25;
  s.overload_factor = 2;
  s.cold = seconds(10);
  s.fall = seconds(2);
  s.must_ask_in = seconds(8);
  s.turn_gap = milliseconds(100);
  s.tick = milliseconds(5);
  s.idle_close = seconds(10);
  s.max_retry_after = seconds(2);
  s.classes.resize(1);
  s.classes[0].worth = 1;
  s.classes[0].late_value = 0.4;
  s.classes[0].aim = seconds(2);
  s.classes[0].deadline = seconds(20);
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].group = Group::kAll;
  s.classes[0].key_ttl = seconds(20);
  s.kinds = {{false, 1}, {true, 5}};
  return s;
}

class TestNode : public Host {
 public:
  explicit TestNode(const Settings& settings) : settings_(settings), brain_(MakeBrain(settings, *this)) {}
  // For messages taken from now on.
  void Configure(const Settings& settings) {
    settings_ = settings;
    brain_->OnSettings(settings);
  }

  static Endpoint MakeEndpoint(std::uint64_t destination, EndpointId id, int zone = 0, int kind = 0,
                               EndpointState state = EndpointState::kReady) {
    return {std::move(id), zone, kind, destination, state};
  }

  // One turn at `now`, with the events that `events` feeds.
  void Turn(
      Micros now, const std::function<void()>& events = [] {}) {
    now_ = now;
    brain_->OnTurnStart(now);
    events();
    brain_->OnTurnEnd();
  }

  void UpdateList(const std::vector<Endpoint>& entries, bool whole = true) { brain_->OnList(entries, whole); }

  // A message born under the rules that its class has now.
  void EnqueueMessage(Message message) {
    const auto number = static_cast<std::size_t>(message.message_class);
    if (number < settings_.classes.size()) message.rules = settings_.classes[number];
    brain_->OnMessage(message);
  }
  void Enqueue(MessageId id, std::uint64_t destination, Micros life = seconds(20),
               const std::string& key = "", int message_class = 0, int tenant = 0) {
    EnqueueMessage({id, message_class, tenant, key, now_ + life, destination});
  }

  // The outcome of the latest attempt at a message.
  void ReportOutcome(MessageId id, Reply reply, bool last) {
    const auto sent =
        std::find_if(sends.rbegin(), sends.rend(), [&](const SendRecord& s) { return s.id == id; });
    if (sent == sends.rend()) return;
    sent->settled = true;
    Outcome outcome;
    outcome.id = id;
    outcome.attempt = attempts_[id] - 1;
    outcome.endpoint = sent->endpoint;
    outcome.result = reply.result;
    outcome.latency = now_ - sent->at;
    outcome.last = last;
    outcome.wait = reply.wait;
    outcome.load.limit = reply.limit;
    outcome.load.left = reply.left;
    brain_->OnOutcome(outcome);
  }
  void ReportOutcome(MessageId id, Result result) { ReportOutcome(id, Reply{result}, result == Result::kOk); }

  // Turns every 10 ms over [from, to). `answer` says how a send ends; nothing means that it runs into its
  // time-out. `events` may feed more at each turn.
  void Run(
      Micros from, Micros to, const std::function<std::optional<Reply>(const SendRecord&)>& answer,
      const std::function<void(Micros)>& events = [](Micros) {}) {
    for (Micros now = from; now < to; now += milliseconds(10)) {
      Turn(now, [&] {
        while (!due_.empty() && due_.begin()->first <= now) {
          const auto [id, reply] = due_.begin()->second;
          due_.erase(due_.begin());
          ReportOutcome(id, reply, reply.result == Result::kOk);
        }
        events(now);
      });
      for (; answered_ < sends.size(); ++answered_) {
        const SendRecord& sent = sends[answered_];
        if (sent.settled) continue;  // by hand
        Reply reply = answer(sent).value_or(Reply{Result::kTimeout, sent.timeout});
        if (reply.after > sent.timeout) reply = {Result::kTimeout, sent.timeout};
        due_.emplace(sent.at + reply.after, std::make_pair(sent.id, reply));
      }
    }
  }

  int CountSends(Micros from, Micros to, const EndpointId& endpoint = "") const {
    return static_cast<int>(std::count_if(sends.begin(), sends.end(), [&](const SendRecord& s) {
      return s.at >= from && s.at < to && (endpoint.empty() || s.endpoint == endpoint);
    }));
  }
  int CountSends(MessageId id) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [&](const SendRecord& s) { return s.id == id; }));
  }
  bool Refused(MessageId id) const { return refused.contains(id); }
  bool Failed(MessageId id) const { return failed.contains(id); }

  // Host
  void Send(MessageId id, const EndpointId& endpoint, Micros timeout) override {
    sends.push_back({id, endpoint, timeout, now_, false});
    ++attempts_[id];
  }
  bool Refuse(MessageId id, Micros not_before, GiveUpCause cause) override {
    causes[id] = cause;
    ++answers[id];
    refused[id] = not_before;
    return answers_at_once;
  }
  bool Fail(MessageId id, GiveUpCause cause) override {
    causes[id] = cause;
    ++answers[id];
    failed[id] = now_;
    return answers_at_once;
  }
  void SetTimer(Micros at) override { timers.push_back(at); }
  void Watch() override { watches.push_back(now_); }
  void CloseIdle(const EndpointId& endpoint) override { closes.emplace_back(now_, endpoint); }

  Brain& brain() { return *brain_; }

  bool answers_at_once = true;  // else the test says when they are told
  std::vector<SendRecord> sends;
  std::vector<Micros> timers;
  std::vector<Micros> watches;
  std::vector<std::pair<Micros, EndpointId>> closes;
  std::map<MessageId, int> answers;  // final answers given, by message
  std::map<MessageId, GiveUpCause> causes;
  std::map<MessageId, Micros> refused;
  std::map<MessageId, Micros> failed;

 private:
  Settings settings_;
  Micros now_{0};
  std::map<MessageId, int> attempts_;
  std::multimap<Micros, std::pair<MessageId, Reply>> due_;
  std::size_t answered_ = 0;
  std::unique_ptr<Brain> brain_;
};

}  // namespace indigosaddle::testing

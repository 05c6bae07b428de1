// A decision engine (Brain) under the control of a test: the test feeds it events turn by turn, on a clock
// that the test sets, and reads what the engine did from the recorded actions.
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

// One attempt that the engine started through Host::Send.
struct SendRecord {
  MessageId id = 0;
  EndpointId endpoint;
  Micros timeout{0};     // attempt timeout that the engine asked for
  Micros at{0};          // time of the turn that sent it
  bool settled = false;  // its outcome has been reported to the engine
};

// How a scripted endpoint ends one attempt.
struct Reply {
  Result result = Result::kOk;
  Micros latency{milliseconds(100)};  // from the send to the outcome
  Micros wait{0};                     // Retry-After with kRefused; zero: none
  double limit = -1;                  // reported calls a second; negative: not reported
  double left = -1;                   // reported share of the limit left; negative: not reported
};

// Settings for tests, not those of a real deployment: two senders, one keyed class, kind 0 whose endpoints
// share one rate limiter and kind 1 whose endpoints have one each.
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

// Owns one engine, is its Host and records every action that it takes.
class TestNode : public Host {
 public:
  explicit TestNode(const Settings& settings) : settings_(settings), brain_(MakeBrain(settings, *this)) {}
  // Applies new settings. Messages enqueued from now on carry the rules of the new classes.
  void Configure(const Settings& settings) {
    settings_ = settings;
    brain_->OnSettings(settings);
  }

  // An entry of the list of endpoints.
  static Endpoint MakeEndpoint(std::uint64_t destination, EndpointId id, int zone = 0, int kind = 0,
                               EndpointState state = EndpointState::kReady) {
    return {std::move(id), zone, kind, destination, state};
  }

  // Runs one turn at `now`; `events` feeds the turn's events to the engine.
  void Turn(
      Micros now, const std::function<void()>& events = [] {}) {
    now_ = now;
    brain_->OnTurnStart(now);
    events();
    brain_->OnTurnEnd();
  }

  // Feeds the list of endpoints; `whole` says that endpoints missing from it are gone.
  void UpdateList(const std::vector<Endpoint>& entries, bool whole = true) { brain_->OnList(entries, whole); }

  // Hands in a message with the repeat rules that its class has now.
  void EnqueueMessage(Message message) {
    const auto number = static_cast<std::size_t>(message.message_class);
    if (number < settings_.classes.size()) message.rules = settings_.classes[number];
    brain_->OnMessage(message);
  }
  // Hands in a message whose deadline is `life` after the current turn.
  void Enqueue(MessageId id, std::uint64_t destination, Micros life = seconds(20),
               const std::string& key = "", int message_class = 0, int tenant = 0) {
    EnqueueMessage({id, message_class, tenant, key, now_ + life, destination});
  }

  // Reports the outcome of the latest attempt at a message; `last` says that this concludes the message. Does
  // nothing if the message was never sent.
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
  // The same with a result only; kOk concludes the message.
  void ReportOutcome(MessageId id, Result result) { ReportOutcome(id, Reply{result}, result == Result::kOk); }

  // Runs a turn every 10 ms over [from, to). `answer` says how an attempt ends; nullopt means that it runs
  // into its timeout. `events` may feed more events in each turn.
  void Run(
      Micros from, Micros to, const std::function<std::optional<Reply>(const SendRecord&)>& answer,
      const std::function<void(Micros)>& events = [](Micros) {}) {
    for (Micros now = from; now < to; now += milliseconds(10)) {
      Turn(now, [&] {
        while (!pending_replies_.empty() && pending_replies_.begin()->first <= now) {
          const auto [id, reply] = pending_replies_.begin()->second;
          pending_replies_.erase(pending_replies_.begin());
          ReportOutcome(id, reply, reply.result == Result::kOk);
        }
        events(now);
      });
      for (; scripted_ < sends.size(); ++scripted_) {
        const SendRecord& sent = sends[scripted_];
        if (sent.settled) continue;  // the test has reported its outcome itself
        Reply reply = answer(sent).value_or(Reply{Result::kTimeout, sent.timeout});
        if (reply.latency > sent.timeout) reply = {Result::kTimeout, sent.timeout};
        pending_replies_.emplace(sent.at + reply.latency, std::make_pair(sent.id, reply));
      }
    }
  }

  // Attempts sent in [from, to), to any endpoint if `endpoint` is empty.
  int CountSends(Micros from, Micros to, const EndpointId& endpoint = "") const {
    return static_cast<int>(std::count_if(sends.begin(), sends.end(), [&](const SendRecord& s) {
      return s.at >= from && s.at < to && (endpoint.empty() || s.endpoint == endpoint);
    }));
  }
  // Attempts at one message.
  int CountSends(MessageId id) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [&](const SendRecord& s) { return s.id == id; }));
  }
  // Whether the message was rejected (no effect, may be handed in again).
  bool Refused(MessageId id) const { return refused.contains(id); }
  // Whether the message was failed (no promise about its effect).
  bool Failed(MessageId id) const { return failed.contains(id); }

  // Host: records each action.
  void Send(MessageId id, const EndpointId& endpoint, Micros timeout) override {
    sends.push_back({id, endpoint, timeout, now_, false});
    ++attempts_[id];
  }
  bool Refuse(MessageId id, Micros retry_after, GiveUpCause cause) override {
    causes[id] = cause;
    ++answers[id];
    refused[id] = retry_after;
    return answers_at_once;
  }
  bool Fail(MessageId id, GiveUpCause cause) override {
    causes[id] = cause;
    ++answers[id];
    failed[id] = now_;
    return answers_at_once;
  }
  void SetTimer(Micros at) override { timers.push_back(at); }
  void Watch() override { watch_requests.push_back(now_); }
  void CloseIdle(const EndpointId& endpoint) override { idle_closes.emplace_back(now_, endpoint); }

  Brain& brain() { return *brain_; }

  // What Refuse and Fail return. False: the test reports each answer's arrival with OnAnswerDelivered.
  bool answers_at_once = true;
  std::vector<SendRecord> sends;                           // in the order sent
  std::vector<Micros> timers;                              // times asked for with SetTimer
  std::vector<Micros> watch_requests;                      // when Watch was called
  std::vector<std::pair<Micros, EndpointId>> idle_closes;  // when and where idle connections were closed
  std::map<MessageId, int> answers;                        // number of final answers, by message
  std::map<MessageId, GiveUpCause> causes;                 // of the latest final answer
  std::map<MessageId, Micros> refused;                     // rejected messages and their Retry-After
  std::map<MessageId, Micros> failed;                      // failed messages and when they failed

 private:
  Settings settings_;
  Micros now_{0};  // time of the current turn
  std::map<MessageId, int> attempts_;
  std::multimap<Micros, std::pair<MessageId, Reply>> pending_replies_;  // by the time they arrive
  std::size_t scripted_ = 0;  // sends whose replies Run has scheduled
  std::unique_ptr<Brain> brain_;
};

}  // namespace indigosaddle::testing

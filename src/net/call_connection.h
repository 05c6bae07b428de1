// One connection to an endpoint, a part of CallPool (call_pool.cpp): carries one call at a time, reads its
// answer, and tells the call's one end through CallPool::Finished. What it may be used for is asked of
// CheckConnectionUse (brain/connection_trust.h) in each case.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/call_pool.h"
#include "net/http_reader.h"

namespace indigosaddle::net {

// An answer that has begun comes whole within so long, or is taken for what has come of it.
constexpr Micros kAnswerPatience = std::chrono::milliseconds(500);

class CallPool::Connection : public Stream::Listener {
 public:
  Connection(CallPool& pool, std::string host, std::string dial, std::uint64_t number);

  const std::string& host() const { return host_; }
  const std::string& last_id() const { return last_id_; }
  const ConnectionLifecycle& life() const { return life_; }
  bool up() const { return up_; }
  bool judged() const { return judged_; }
  std::size_t unread() const { return stream_.unread(); }
  ConnectionNote Note() const;
  DenialReason MayCarry(const std::string& dial, bool first_call_only) const;

  // The call's end comes later, through Finished, in every case.
  void Begin(const CallRequest& request, bool connect);
  void EndUnstarted() { End(state::AttemptResult::kNotStarted); }
  // Its call is over and has been told: the rest of the answer, or silence, comes next.
  void AwaitRest();
  void Settle();
  // At once; neither the other side nor a timer that is due in this same pass says anything more. A call that
  // has not arrived whole never does: closed in order, the system would go on sending it.
  void Close();

 private:
  void OnConnected(int error) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(int error) override;
  void OnDrained() override { Sent(); }
  void OnTimeout();
  void OnPhaseOver();
  void OnLastByteDue();

  void Send(Micros last_byte_by);
  void Sent();
  void StopLastByte();
  void TakeRest(bool good);
  void TakeAnswer(bool good);
  void Answered(bool more_behind, bool keep_alive);
  void Spoilt();
  void Disbelieve(DenialReason why, state::AttemptResult said);
  void End(state::AttemptResult ending, DenialReason why = DenialReason::kNone);

  Micros Now() const { return pool_.loop_.Now(); }
  ConnectionState state() const { return life_.At(Now()); }
  ConnectionFacts Facts() const;
  ConnectionFacts FactsOfAnswer(state::AttemptResult ending, bool more_behind) const;
  CallResult ResultOf(state::AttemptResult ending) const;

  CallPool& pool_;
  const std::string host_, dial_;
  const std::uint64_t number_;
  ConnectionLifecycle life_;
  HttpReader reader_;
  Stream stream_;
  Timer timeout_, phase_;           // phase: connecting, an answer that has begun, or the rest of one
  std::optional<Timer> last_byte_;  // of a call whose last byte may not leave at any time
  std::uint64_t serial_ = 0;
  std::string last_id_;
  CallRequest request_;  // until it is written
  Micros began_{0};
  bool up_ = false, in_call_ = false, sent_ = false;
  bool begun_ = false;    // the answer
  bool held_up_ = false;  // something lay there once the call was written
  bool early_ = false;    // the answer began before the call's last byte had left
  bool judged_ = false;   // the answer is believed
  std::size_t last_read_ = 0;
  std::optional<state::AttemptResult>
      failure_;  // known when the call began; told by the timer, never from within Start
};

}  // namespace indigosaddle::net

// The interface of the decision engine, which decides when each message is sent, to which endpoint, and which
// final answer it gets. An adapter turns its own protocol into these calls; the implementation is in
// src/brain/. This interface holds no wire format and no decision.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "brain/events.h"
#include "brain/settings.h"

namespace indigosaddle {

// What the engine asks its adapter to do. The adapter owns the host and keeps it alive for as long as the
// engine. Every call takes effect in the present turn.
class Host {
 public:
  virtual ~Host() = default;

  // Begins one attempt at the message, with this attempt timeout.
  virtual void Send(MessageId id, const EndpointId& endpoint, Micros timeout) = 0;

  // Gives the final answer that returns the message to its client: handing it in again is harmless, and
  // advised once `retry_after` has passed. True: the answer is delivered. False: it is on its way, and the
  // host calls OnAnswerDelivered later.
  virtual bool Refuse(MessageId id, Micros retry_after, GiveUpCause cause) = 0;

  // Gives the final answer that promises nothing about the message's effect. Returns as Refuse does.
  virtual bool Fail(MessageId id, GiveUpCause cause) = 0;

  // Asks for a turn at that time, with or without other events.
  virtual void SetTimer(Micros at) = 0;

  // Subscribes to changes of the endpoint list.
  virtual void Watch() = 0;

  // Closes this node's idle connections to the endpoint.
  virtual void CloseIdle(const EndpointId& endpoint) = 0;

  // Reports a change of health, for logs. May do nothing.
  virtual void OnRecovery(const RecoveryChange& /*change*/) {}
};

// Sizes of the state that an engine holds, for tests and monitoring.
struct Footprint {
  std::size_t messages = 0;
  std::size_t keys = 0;         // order keys
  std::size_t rate_scopes = 0;  // token buckets in use
  std::size_t endpoints = 0;
  std::size_t calls = 0;  // in flight
  std::size_t destinations = 0;
};

// The decision engine of one sender. Instances share nothing. The adapter passes the events of one turn in
// order between OnTurnStart and OnTurnEnd; the engine calls its host only in OnTurnEnd.
class Brain {
 public:
  virtual ~Brain() = default;

  virtual void OnTurnStart(Micros now) = 0;

  // Entries of the endpoint list. `whole`: endpoints that it doesn't name are gone.
  virtual void OnList(const std::vector<Endpoint>& entries, bool whole) = 0;

  // The subscription to the list failed or may have.
  virtual void OnListFailed() = 0;

  // From that instant on the list may be outdated: nothing new is sent until the next call. Micros::max():
  // the list is valid. ListValidity decides it; an OnList alone changes nothing.
  virtual void OnListOutdated(Micros from) = 0;

  // A message was accepted. Ignored if one with its id is held.
  virtual void OnMessage(const Message& message) = 0;

  // An attempt ended. Ignored if the message is not held or not in flight.
  virtual void OnOutcome(const Outcome& outcome) = 0;

  // An endpoint sent a Retry-After, though not in an answer that ended a call.
  virtual void OnRetryAfter(const EndpointId& endpoint, Micros wait) = 0;

  // The message needs no final answer any more.
  virtual void OnWithdrawn(MessageId id) = 0;

  // A final answer that was on its way has arrived.
  virtual void OnAnswerDelivered(MessageId id) = 0;

  // The process ends at that instant; messages held then are resumed by the next process.
  virtual void OnStop(Micros at) = 0;

  // The senders agreed that endpoints in this zone may have gone down without a failed call showing it.
  virtual void OnZoneLost(int zone) = 0;

  // New settings, in force from this turn on, also for messages already held; these keep the repeat rules
  // that they carry. Classes and tenants keep their indices, and new ones follow them. Seed, tick, zones and
  // discovery must stay as they were. What was learned of rate limits is kept.
  virtual void OnSettings(Settings settings) = 0;

  virtual void OnTurnEnd() = 0;

  // Between turns: whether a call that the engine sent, but that waits for its connection, may still begin.
  virtual bool MayStillStart(MessageId id, Micros now) = 0;

  // Instant by which the last byte of the message's call must have left: receivers act on a call once they
  // have it whole. Max: nothing but the call's timeout binds it.
  virtual Micros LastByteBy(MessageId id) const = 0;

  virtual Footprint footprint() const = 0;
  virtual SlowStartFigures slow_start() const = 0;
};

// Makes an engine. The host must outlive it.
std::unique_ptr<Brain> MakeBrain(Settings settings, Host& host);

}  // namespace indigosaddle

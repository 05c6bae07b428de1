// Log events of deliveries: messages, clients, calls, rejected messages and recovery of destinations. Part of
// the table in src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kText, kText, kText, kCount, kText, kCount, kMillis, kText, kText> kMessageEnded{
    "message.ended",
    kInfo,
    "An accepted message ended other than by delivery.",
    {{{"id", "id that the client gave the message"},
      {"class", "class of the message"},
      {"tenant", "tenant of the message"},
      {"destination", "number of the destination"},
      {"end", "returned, failed or withdrawn"},
      {"attempts", "calls made for it"},
      {"held", "time since it was accepted; 0 if that was before a restart"},
      {"why", "why it ended; empty if it was withdrawn"},
      {"rules", "rules for repeats and order that applied to it"}}}};
inline constexpr Event<kText, kText, kText, kCount, kText, kCount, kMillis, kText> kMessageDelivered{
    "message.delivered",
    kDebug,
    "An accepted message was delivered, or its endpoint answered that it needs no delivery any more.",
    {{{"id", "id that the client gave the message"},
      {"class", "class of the message"},
      {"tenant", "tenant of the message"},
      {"destination", "number of the destination"},
      {"end", "delivered"},
      {"attempts", "calls made for it"},
      {"held", "time since it was accepted; 0 if that was before a restart"},
      {"rules", "rules for repeats and order that applied to it"}}}};
inline constexpr Event<kText> kDeliveryRetracted{
    "message.doubted",
    kWarn,
    "A message that had ended as delivered is reported as failed: the answer may have belonged to another "
    "call.",
    {{{"id", "id that the client gave the message"}}}};
inline constexpr Event<kCount, kText, kCount, kMillis> kClientEnded{
    "client.ended",
    kDebug,
    "A client's connection ended.",
    {{{"connection", "number of the connection since the start"},
      {"end", "why it ended; docs/architecture.md lists the causes"},
      {"commands", "commands received on it"},
      {"lasted", "time since it was accepted"}}}};
inline constexpr Event<kText, kCount, kText, kCount, kText, kMillis, kMillis, kText, kCount, kCount, kMillis>
    kCallEnded{"call.ended",
               kInfo,
               "A call ended other than by delivery; the next event with this id says what happens to the "
               "message.",
               {{{"id", "id of the message"},
                 {"destination", "number of the destination"},
                 {"endpoint", "endpoint that was called"},
                 {"attempt", "number of the attempt at the message, from 1"},
                 {"ending", "how the call ended"},
                 {"latency", "time since the call was sent"},
                 {"wait", "Retry-After of the answer; 0 if it has none"},
                 {"rules", "rules for repeats and order that apply to the message"},
                 {"connection", "number of the connection since the start"},
                 {"calls", "calls that the connection has carried, including this one"},
                 {"age", "age of the connection"}}}};
inline constexpr Event<kText, kCount, kText, kCount, kText, kMillis, kMillis, kText, kCount, kCount, kMillis>
    kCallDelivered{"call.delivered",
                   kDebug,
                   "A call delivered its message.",
                   {{{"id", "id of the message"},
                     {"destination", "number of the destination"},
                     {"endpoint", "endpoint that was called"},
                     {"attempt", "number of the attempt at the message, from 1"},
                     {"ending", "how the call ended"},
                     {"latency", "time since the call was sent"},
                     {"wait", "0"},
                     {"rules", "rules for repeats and order that apply to the message"},
                     {"connection", "number of the connection since the start"},
                     {"calls", "calls that the connection has carried, including this one"},
                     {"age", "age of the connection"}}}};
inline constexpr Event<kText, kText, kText> kMessageRulesUnknown{
    "message.rules_unsure",
    kInfo,
    "It is unknown which rules of its class were in force when an enqueued message was written; the "
    "strictest apply.",
    {{{"id", "id that the client gave the message"},
      {"class", "class of the message"},
      {"rules", "rules for repeats and order that apply to it"}}}};
inline constexpr Event<kText, kText, kText, kText, kText> kRequestRefused{
    "request.refused",
    kInfo,
    "A client's message was not accepted.",
    {{{"id", "id that the client gave the message"},
      {"class", "class of the message"},
      {"answer", "busy or failed"},
      {"why", "no room, not written, same id, stopping, given up by the delivery policy or withdrawn"},
      {"cause", "why the delivery policy gave it up; empty otherwise"}}}};
inline constexpr Event<kText, kCount, kCount, kFlag, kMillis, kText> kMessageResumed{
    "message.resumed",
    kInfo,
    "Delivery of a message that an earlier process had accepted is resumed.",
    {{{"id", "id that the client gave the message"},
      {"destination", "number of the destination"},
      {"attempts", "calls made for it so far"},
      {"may_have_run", "whether one of them may have taken effect"},
      {"left", "time left until its deadline"},
      {"rules", "rules for repeats and order that apply to it"}}}};
inline constexpr Event<kCount, kText, kText, kText, kText, kNumber, kNumber, kNumber, kNumber> kRecovery{
    "recovery",
    kInfo,
    "The recovery state of a destination changed: warm (healthy), probing (it may be down) or slow_start (it "
    "may be cold).",
    {{{"destination", "number of the destination"},
      {"endpoint", "the endpoint, if it has a state of its own; empty: the whole destination"},
      {"from", "the state before"},
      {"to", "the state now"},
      {"cause", "what changed it"},
      {"allowance", "calls that this node may make there at once"},
      {"spent", "calls that this node made since it was last warm"},
      {"limit", "calls a second from all nodes that it is assumed to take when warm"},
      {"served_share", "share of this node's messages for it that were served before it left warm"}}}};

}  // namespace indigosaddle::base

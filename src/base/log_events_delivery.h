// Events of deliveries: messages, clients, calls, refusals, slow start. A part of src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kText, kText, kText, kCount, kText, kCount, kMillis, kText, kText> kMessageEnded{
    "message.ended",
    kInfo,
    "A message taken on ended other than by delivery.",
    {{{"id", "as the client gave it"},
      {"class", "of the message"},
      {"tenant", "of the message"},
      {"destination", "its number"},
      {"end", "returned, failed or withdrawn"},
      {"attempts", "calls made for it"},
      {"held", "since it was taken; 0 where that was before a restart"},
      {"why", "what ended it; empty where it was withdrawn"},
      {"rules", "for repeats and order, by which it went"}}}};
inline constexpr Event<kText, kText, kText, kCount, kText, kCount, kMillis, kText> kMessageDelivered{
    "message.delivered",
    kDebug,
    "A message taken on was delivered, or its endpoint said that it is over.",
    {{{"id", "as the client gave it"},
      {"class", "of the message"},
      {"tenant", "of the message"},
      {"destination", "its number"},
      {"end", "delivered"},
      {"attempts", "calls made for it"},
      {"held", "since it was taken; 0 where that was before a restart"},
      {"rules", "for repeats and order, by which it went"}}}};
inline constexpr Event<kText> kMessageDoubted{
    "message.doubted",
    kWarn,
    "A message that was over as delivered is told as failed: the answer may have been another call's.",
    {{{"id", "as the client gave it"}}}};
inline constexpr Event<kCount, kText, kCount, kMillis> kClientEnded{
    "client.ended",
    kDebug,
    "A client's connection ended.",
    {{{"connection", "its number since the start"},
      {"end", "why; the ways are listed in docs/architecture.md"},
      {"commands", "that it sent"},
      {"lasted", "since it was accepted"}}}};
inline constexpr Event<kText, kCount, kText, kCount, kText, kMillis, kMillis, kText, kCount, kCount, kMillis>
    kCallEnded{"call.ended",
               kInfo,
               "A call ended other than by delivery; what becomes of its message is said by the next event "
               "of its id.",
               {{{"id", "of the message"},
                 {"destination", "its number"},
                 {"endpoint", "called"},
                 {"attempt", "of the message, from 1"},
                 {"ending", "how the call ended"},
                 {"latency", "since it was sent"},
                 {"wait", "that the endpoint told; 0 where it told none"},
                 {"rules", "for repeats and order, by which its message goes"},
                 {"connection", "its number since the start"},
                 {"calls", "that the connection has carried, this one included"},
                 {"age", "of the connection"}}}};
inline constexpr Event<kText, kCount, kText, kCount, kText, kMillis, kMillis, kText, kCount, kCount, kMillis>
    kCallDelivered{"call.delivered",
                   kDebug,
                   "A call delivered its message.",
                   {{{"id", "of the message"},
                     {"destination", "its number"},
                     {"endpoint", "called"},
                     {"attempt", "of the message, from 1"},
                     {"ending", "how the call ended"},
                     {"latency", "since it was sent"},
                     {"wait", "0"},
                     {"rules", "for repeats and order, by which its message goes"},
                     {"connection", "its number since the start"},
                     {"calls", "that the connection has carried, this one included"},
                     {"age", "of the connection"}}}};
inline constexpr Event<kText, kText, kText> kRulesUnsure{
    "message.rules_unsure",
    kInfo,
    "A message handed in may have been written under several rules of its class; it goes by the strictest.",
    {{{"id", "as the client gave it"},
      {"class", "of the message"},
      {"rules", "for repeats and order, by which it goes"}}}};
inline constexpr Event<kText, kText, kText, kText, kText> kRequestRefused{
    "request.refused",
    kInfo,
    "A client's message was not taken on.",
    {{{"id", "as the client gave it"},
      {"class", "of the message"},
      {"answer", "busy or failed"},
      {"why", "no room, not written, same id, stopping, given up by the delivery policy or withdrawn"},
      {"cause", "why the delivery policy gave it up; else empty"}}}};
inline constexpr Event<kText, kCount, kCount, kFlag, kMillis, kText> kMessageResumed{
    "message.resumed",
    kInfo,
    "A message that an earlier process took on is taken up again.",
    {{{"id", "as the client gave it"},
      {"destination", "its number"},
      {"attempts", "calls made for it so far"},
      {"may_have_run", "whether one of them may have taken effect"},
      {"left", "of its time"},
      {"rules", "for repeats and order, by which it goes on"}}}};
inline constexpr Event<kCount, kText, kText, kText, kText, kNumber, kNumber, kNumber, kNumber> kRecovery{
    "recovery",
    kInfo,
    "What is believed of a destination changed: warm, probing (it may be down) or slow_start (it may be "
    "cold).",
    {{{"destination", "its number"},
      {"endpoint", "where it has a state of its own; empty: the whole destination"},
      {"from", "the state before"},
      {"to", "the state now"},
      {"cause", "what changed it"},
      {"allowance", "calls that this node may make there at once"},
      {"spent", "calls since it was last warm"},
      {"limit", "calls a second that it is taken to bear from all nodes, when warm"},
      {"served_share", "of this node's messages for it, before"}}}};

}  // namespace indigosaddle::base

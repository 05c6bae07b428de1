// Events of connections to endpoints: what was said unasked, what was not believed, why one was closed. A
// part of src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kText, kCount, kText, kMillis, kMillis, kCount, kText, kText, kCount, kCount, kFlag>
    kConnectionUnasked{"connection.unasked",
                       kWarn,
                       "Bytes came that no call had asked for: the endpoint is suspect, and each call there "
                       "has a connection "
                       "of its own.",
                       {{{"endpoint", "that said them, or something in front of it"},
                         {"connection", "its number since the start"},
                         {"state", "of the connection"},
                         {"age", "of the connection"},
                         {"in_state", "since it came into that state"},
                         {"calls", "that it has carried"},
                         {"last_id", "of the message of its latest call"},
                         {"why", "how they were told from an answer"},
                         {"bytes", "that came"},
                         {"suspects", "endpoints that are suspect now"},
                         {"all", "whether all endpoints are"}}}};
inline constexpr Event<kText, kText, kCount, kText, kMillis, kCount, kText, kText> kAnswerNotBelieved{
    "answer.not_believed",
    kWarn,
    "An answer may not be its call's own; the call ends as one that may have run, or that never left.",
    {{{"id", "of the message"},
      {"endpoint", "called"},
      {"connection", "its number since the start"},
      {"state", "of the connection"},
      {"age", "of the connection"},
      {"calls", "that it has carried"},
      {"said", "what the answer said"},
      {"why", "it is not believed"}}}};
inline constexpr Event<kText, kCount, kText, kText, kMillis, kMillis, kCount, kText> kConnectionClosed{
    "connection.closed",
    kDebug,
    "A connection to an endpoint was closed.",
    {{{"endpoint", "its other side"},
      {"connection", "its number since the start"},
      {"why", "none: its call was given up, its place was wanted, or the list has news"},
      {"state", "that it was in"},
      {"age", "of the connection"},
      {"in_state", "since it came into that state"},
      {"calls", "that it has carried"},
      {"last_id", "of the message of its latest call"}}}};
inline constexpr Event<kText, kCount, kText, kText> kTrustBreak{
    "connection.break",
    kError,
    "A connection was used for what it may not be used for: a fault of the program.",
    {{{"endpoint", "its other side"},
      {"connection", "its number since the start"},
      {"state", "that it was in"},
      {"why", "it may not be used so"}}}};
inline constexpr Event<kCount, kCount, kCount, kCount, kCount, kCount, kFlag, kText, kText> kConnectionReport{
    "connections",
    kInfo,
    "Every 10 s: connections to endpoints, counted since the start.",
    {{{"opened", "connections"},
      {"reused", "calls on a connection that had carried one before, or had been kept unused"},
      {"unasked", "times that bytes came unasked"},
      {"not_believed", "answers"},
      {"doubted", "messages told as failed behind an answer that was believed"},
      {"suspects", "endpoints that are suspect now"},
      {"all", "whether all endpoints are"},
      {"closed", "why connections were closed"},
      {"not_reused", "why a kept connection was not taken, where a new one was opened"}}}};

}  // namespace indigosaddle::base

// Log events of connections to endpoints: unsolicited data, answers that are not trusted, and closed
// connections. Part of the table in src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kText, kCount, kText, kMillis, kMillis, kCount, kText, kText, kCount, kCount, kFlag>
    kUnsolicitedBytes{
        "connection.unasked",
        kWarn,
        "Unsolicited bytes arrived, which belong to no answer to a call: the endpoint is suspect, and each "
        "call there gets a connection of its own.",
        {{{"endpoint", "endpoint from which they came; a proxy in front of it may have sent them"},
          {"connection", "number of the connection since the start"},
          {"state", "state of the connection"},
          {"age", "age of the connection"},
          {"in_state", "time that it has been in that state"},
          {"calls", "calls that it has carried"},
          {"last_id", "id of the message of its latest call"},
          {"why", "why they are not an answer"},
          {"bytes", "number of bytes"},
          {"suspects", "endpoints that are suspect now"},
          {"all", "whether all endpoints are suspect"}}}};
inline constexpr Event<kText, kText, kCount, kText, kMillis, kCount, kText, kText> kAnswerNotTrusted{
    "answer.not_believed",
    kWarn,
    "An answer may belong to another call; its call ends as one that may have run, or that was never sent.",
    {{{"id", "id of the message"},
      {"endpoint", "endpoint that was called"},
      {"connection", "number of the connection since the start"},
      {"state", "state of the connection"},
      {"age", "age of the connection"},
      {"calls", "calls that it has carried"},
      {"said", "result that the answer reports"},
      {"why", "why it is not trusted"}}}};
inline constexpr Event<kText, kCount, kText, kText, kMillis, kMillis, kCount, kText> kConnectionClosed{
    "connection.closed",
    kDebug,
    "A connection to an endpoint was closed.",
    {{{"endpoint", "endpoint of the connection"},
      {"connection", "number of the connection since the start"},
      {"why", "why it was closed; none: its call was given up, its slot was needed, or the list changed"},
      {"state", "state that it was in"},
      {"age", "age of the connection"},
      {"in_state", "time that it has been in that state"},
      {"calls", "calls that it has carried"},
      {"last_id", "id of the message of its latest call"}}}};
inline constexpr Event<kText, kCount, kText, kText> kConnectionTrustViolation{
    "connection.break",
    kError,
    "A connection was used in a way that its state does not permit: a bug in this program.",
    {{{"endpoint", "endpoint of the connection"},
      {"connection", "number of the connection since the start"},
      {"state", "state that it was in"},
      {"why", "why the use is not permitted"}}}};
inline constexpr Event<kCount, kCount, kCount, kCount, kCount, kCount, kFlag, kText, kText> kConnectionReport{
    "connections",
    kInfo,
    "Every 10 s: connections to endpoints, counted since the start.",
    {{{"opened", "connections opened"},
      {"reused", "calls on a connection that had carried a call before, or that had been kept unused"},
      {"unasked", "times that unsolicited bytes arrived"},
      {"not_believed", "answers that were not trusted"},
      {"doubted", "messages reported as failed after an answer to them had been trusted"},
      {"suspects", "endpoints that are suspect now"},
      {"all", "whether all endpoints are suspect"},
      {"closed", "closed connections by reason"},
      {"not_reused", "by reason, times that a kept connection was not reused and a new one was opened"}}}};

}  // namespace indigosaddle::base

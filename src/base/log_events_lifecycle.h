// Log events of the life of the process: its phases and denied actions. Part of the table in
// src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kText, kText, kText, kMillis, kMillis, kCount, kCount, kCount, kCount, kCount, kCount,
                       kCount, kCount, kText, kCount, kCount, kCount>
    kPhaseEntered{"phase",
                  kInfo,
                  "The process entered a new phase of its life; counts are of the phase that ended, unless "
                  "they say now.",
                  {{{"from", "the phase that ended"},
                    {"to", "the phase entered"},
                    {"why", "a request, a time limit, or what has ended"},
                    {"lasted", "length of the phase that ended"},
                    {"since_signal", "time since SIGTERM, as an upper bound; 0 before it"},
                    {"admitted", "client connections accepted"},
                    {"read", "client commands executed"},
                    {"taken", "messages answered +OK"},
                    {"refused", "messages that the phase did not permit to accept"},
                    {"begun", "first calls of messages"},
                    {"repeated", "further calls of messages"},
                    {"notices", "requests that sent notices to the platform"},
                    {"closed", "client connections that ended"},
                    {"denied", "actions that the phase did not permit, counted by name"},
                    {"open", "messages held now"},
                    {"clients", "client connections now"},
                    {"calls", "calls in flight now"}}}};
inline constexpr Event<kText, kText> kLifecycleViolation{
    "phase.break",
    kError,
    "An action was done that the current phase does not permit: a bug in this program.",
    {{{"phase", "current phase"}, {"action", "action that was done"}}}};
inline constexpr Event<kText> kReloadIgnored{
    "config.reload_ignored",
    kWarn,
    "SIGHUP was ignored: in this phase the configuration is no longer read.",
    {{{"phase", "phase of the process"}}}};

}  // namespace indigosaddle::base

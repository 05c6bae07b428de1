// Events of the life of the process: its phases and what they deny. A part of src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kText, kText, kText, kMillis, kMillis, kCount, kCount, kCount, kCount, kCount, kCount,
                       kCount, kCount, kText, kCount, kCount, kCount>
    kPhaseEntered{"phase",
                  kInfo,
                  "The process entered a phase of its life; the counts are of the phase that is over.",
                  {{{"from", "the phase that is over"},
                    {"to", "the phase entered"},
                    {"why", "asked for, time, or what has ended"},
                    {"lasted", "the phase that is over"},
                    {"since_signal", "since SIGTERM came, at the latest; 0 before"},
                    {"admitted", "connections of clients accepted"},
                    {"read", "commands followed"},
                    {"taken", "messages answered +OK"},
                    {"refused", "messages that the phase forbade to take on"},
                    {"begun", "first calls of messages"},
                    {"repeated", "further calls"},
                    {"notices", "posts to the platform"},
                    {"closed", "connections of clients that ended"},
                    {"denied", "all that the phase forbade, counted"},
                    {"open", "messages held now"},
                    {"clients", "connections of clients now"},
                    {"calls", "calls that are out now"}}}};
inline constexpr Event<kText, kText> kLifecycleBreak{
    "phase.break",
    kError,
    "Something was done that the present phase forbids: a fault of the program.",
    {{{"phase", "the present one"}, {"action", "what was done"}}}};
inline constexpr Event<kText> kReloadIgnored{"config.reload_ignored",
                                             kWarn,
                                             "SIGHUP came when no configuration is read any more.",
                                             {{{"phase", "of the process"}}}};

}  // namespace indigosaddle::base

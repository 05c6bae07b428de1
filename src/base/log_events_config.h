// Events of the configuration and its changes. A part of src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kCount, kText> kConfigServes{
    "config.serves",
    kInfo,
    "Which generation of the operator's configuration this process starts with.",
    {{{"generation", "its number"}, {"from", "the file or the state folder"}}}};
inline constexpr Event<kText, kText> kConfigRefused{
    "config.refused",
    kWarn,
    "A change was refused whole; nothing of it was applied.",
    {{{"author", "who asked"}, {"reason", "every fault found"}}}};
inline constexpr Event<kCount, kText, kText, kMillis> kConfigOnTrial{"config.on_trial",
                                                                     kInfo,
                                                                     "A change is in force and watched.",
                                                                     {{{"generation", "its number"},
                                                                       {"author", "who asked"},
                                                                       {"reason", "as given with it"},
                                                                       {"trial", "how long it is watched"}}}};
inline constexpr Event<kCount, kText> kConfigKept{
    "config.kept",
    kInfo,
    "A change is kept: the next start uses it.",
    {{{"generation", "its number"}, {"why", "what the trial showed"}}}};
inline constexpr Event<kCount, kCount, kText> kConfigUndone{
    "config.undone",
    kWarn,
    "A change was undone; the generation before is in force again.",
    {{{"generation", "its number"}, {"back_to", "the one in force now"}, {"why", "what undid it"}}}};
inline constexpr Event<kCount, kText> kConfigInterrupted{
    "config.interrupted",
    kWarn,
    "The process ended while a change was on trial; the last kept one serves.",
    {{{"generation", "that was on trial"}, {"next", "what becomes of it"}}}};
inline constexpr Event<kText> kConfigNeedsRestart{
    "config.needs_restart",
    kWarn,
    "The platform's file changes a value that holds until a restart; the old one goes on.",
    {{{"value", "its name"}}}};
inline constexpr Event<kCount, kCount, kText> kConfigRead{
    "config.read",
    kInfo,
    "SIGHUP: the configuration files were read again; what may change of one that was taken is in force.",
    {{{"taken", "files taken since the start"},
      {"refused", "files turned down since the start"},
      {"in_force", "the platform's document that is in force, by its hash; empty: none"}}}};
inline constexpr Event<kText, kText> kConfigStartsWith{
    "config.starts_with",
    kInfo,
    "The platform's document that this process starts with.",
    {{{"in_force", "by its hash"}, {"from", "its file"}}}};
inline constexpr Event<kText, kText, kText> kClassRules{
    "class.rules_changed",
    kInfo,
    "The rules of a class for repeats and order changed; messages keep those that they were born under.",
    {{{"class", "its name"},
      {"from", "the rules before; empty: it is new"},
      {"to", "the rules now; empty: it was dropped"}}}};
inline constexpr Event<kText> kRulesUnknown{
    "class.rules_unknown",
    kWarn,
    "The state folder does not say which rules were in force before: the strictest bind what may be older.",
    {{{"folder", "its path"}}}};
inline constexpr Event<kText> kConfigUnusable{
    "config.unusable",
    kError,
    "A configuration file can't be used; the old configuration goes on.",
    {{{"reason", "every fault found"}}}};
inline constexpr Event<kText> kConfigSame{"config.same",
                                          kInfo,
                                          "SIGHUP: nothing that may change while running has changed.",
                                          {{{"discovery", "its address"}}}};
inline constexpr Event<kText> kConfigStoreFailed{"config.store_failed",
                                                 kError,
                                                 "The generations can't be written to the state folder.",
                                                 {{{"reason", "as the system says it"}}}};

}  // namespace indigosaddle::base

// Log events of the configuration and its changes. Part of the table in src/base/log_events.h.
#pragma once

#include "base/log.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

inline constexpr Event<kCount, kText> kConfigGenerationAtStart{
    "config.serves",
    kInfo,
    "The generation of the operator's configuration that this process starts with.",
    {{{"generation", "number of the generation"}, {"from", "the file or the state folder"}}}};
inline constexpr Event<kText, kText> kConfigRefused{
    "config.refused",
    kWarn,
    "A change was rejected; no part of it was applied.",
    {{{"author", "who requested the change"}, {"reason", "every fault found"}}}};
inline constexpr Event<kCount, kText, kText, kMillis> kConfigOnTrial{
    "config.on_trial",
    kInfo,
    "A change is in force, on trial.",
    {{{"generation", "number of the generation"},
      {"author", "who requested the change"},
      {"reason", "reason given with the change"},
      {"trial", "length of the trial"}}}};
inline constexpr Event<kCount, kText> kConfigAccepted{
    "config.kept",
    kInfo,
    "A change was accepted after its trial; the next start uses it.",
    {{{"generation", "number of the generation"}, {"why", "outcome of the trial"}}}};
inline constexpr Event<kCount, kCount, kText> kConfigRolledBack{
    "config.undone",
    kWarn,
    "A change was rolled back; the previous generation is in force again.",
    {{{"generation", "number of the generation"},
      {"back_to", "generation in force now"},
      {"why", "why it was rolled back"}}}};
inline constexpr Event<kCount, kText> kConfigTrialInterrupted{
    "config.interrupted",
    kWarn,
    "The process ended while a change was on trial; the last accepted generation is in force.",
    {{{"generation", "generation that was on trial"}, {"next", "what happens to it next"}}}};
inline constexpr Event<kText> kConfigNeedsRestart{
    "config.needs_restart",
    kWarn,
    "The platform's file changes a value that takes effect only at a restart; the old value stays in force.",
    {{{"value", "name of the value"}}}};
inline constexpr Event<kCount, kCount, kText> kConfigReloaded{
    "config.read",
    kInfo,
    "SIGHUP: the configuration files were read again; of an accepted file, all values that may change while "
    "running are in force.",
    {{{"taken", "files accepted since the start"},
      {"refused", "files rejected since the start"},
      {"in_force", "hash of the platform's document that is in force; empty: none"}}}};
inline constexpr Event<kText, kText> kPlatformDocumentAtStart{
    "config.starts_with",
    kInfo,
    "The platform's document that this process starts with.",
    {{{"in_force", "hash of the document"}, {"from", "file of the document"}}}};
inline constexpr Event<kText, kText, kText> kClassRulesChanged{
    "class.rules_changed",
    kInfo,
    "The rules of a class for repeats and order changed; messages keep the rules that applied when they were "
    "written.",
    {{{"class", "name of the class"},
      {"from", "the rules before; empty: the class is new"},
      {"to", "the rules now; empty: the class was removed"}}}};
inline constexpr Event<kText> kPriorRulesUnknown{
    "class.rules_unknown",
    kWarn,
    "The state folder does not say which rules were in force before; the strictest rules apply to messages "
    "that may be older.",
    {{{"folder", "path of the state folder"}}}};
inline constexpr Event<kText> kConfigUnusable{
    "config.unusable",
    kError,
    "A configuration file can't be used; the old configuration stays in force.",
    {{{"reason", "every fault found"}}}};
inline constexpr Event<kText> kConfigUnchanged{"config.same",
                                               kInfo,
                                               "SIGHUP: nothing that may change while running has changed.",
                                               {{{"discovery", "address of discovery"}}}};
inline constexpr Event<kText> kConfigStoreFailed{"config.store_failed",
                                                 kError,
                                                 "The generations can't be written to the state folder.",
                                                 {{{"reason", "what went wrong"}}}};

}  // namespace indigosaddle::base

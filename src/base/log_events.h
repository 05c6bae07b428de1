// Every event that the node logs: its stable name, level, what it means and its fields. docs/logging.md is
// made from this table (`indigosaddle docs logging`), and a test fails where it is stale. Names and fields
// are kept once released: people search for them. A new event goes in here and in ForEachEvent.
#pragma once

#include "base/log.h"
#include "base/log_events_config.h"
#include "base/log_events_connections.h"
#include "base/log_events_delivery.h"
#include "base/log_events_fleet.h"
#include "base/log_events_lifecycle.h"

namespace indigosaddle::base {

using enum FieldType;
using enum Level;

// ---- Start and stop ---------------------------------------------------------------------------------------
inline constexpr Event<kText, kText, kCount, kCount, kBytes> kServing{
    "serving",
    kInfo,
    "The node listens and takes messages.",
    {{{"address", "where clients connect, as bound"},
      {"version", "of the program"},
      {"clients", "most connections of clients"},
      {"calls", "most connections to endpoints"},
      {"disk", "most that the state folder may hold"}}}};
inline constexpr Event<kCount> kStopping{
    "stopping",
    kInfo,
    "A stop was asked for; the process ends 3.2 s behind its signal at the latest.",
    {{{"open", "messages held"}}}};
inline constexpr Event<kCount, kCount> kStopped{"stopped",
                                                kInfo,
                                                "The process ends; what is owed stays in the journal.",
                                                {{{"open", "messages that the next process resumes"},
                                                  {"notices", "that the platform has not answered yet"}}}};
inline constexpr Event<kCount, kCount, kCount, kCount, kCount, kCount, kCount, kCount, kBytes, kText, kCount,
                       kCount, kNumber, kCount, kText, kCount>
    kReport{"report",
            kInfo,
            "Every 10 s: what was done since the start, what is held now.",
            {{{"taken", "messages answered +OK"},
              {"busy", "messages answered -BUSY"},
              {"failed", "messages answered -ERR by the module"},
              {"open", "messages held now"},
              {"notices", "not yet answered by the platform"},
              {"clients", "connections of clients now"},
              {"calls", "connections to endpoints now"},
              {"opened", "connections to endpoints since the start"},
              {"journal", "size of the journal"},
              {"endings", "how calls ended, counted since the start"},
              {"lines_dropped", "log lines lost to a reader that did not read"},
              {"recovering", "destinations that are not warm now"},
              {"slow_start_calls", "made out of slow start's allowances since the start"},
              {"watch_losses", "of the list's watch, told or not, since the start"},
              {"clients_ended", "how clients' connections ended, counted since the start"},
              {"rules_unsure", "messages handed in whose birth several rules may bind, since the start"}}}};
inline constexpr Event<kCount, kText> kWatch{
    "watch",
    kInfo,
    "Every 10 s where settings are watched: how often they would have decided otherwise.",
    {{{"messages", "compared since the start"},
      {"otherwise", "messages by what the watched settings would have done instead, since the start"}}}};
inline constexpr Event<kText, kText> kFolderUnusable{
    "folder.unusable",
    kError,
    "The state folder can't be used; the process ends with 1.",
    {{{"folder", "its path"}, {"reason", "as the system says it"}}}};
inline constexpr Event<kText, kText> kListenFailed{
    "listen.failed",
    kError,
    "The address can't be listened on; the process ends with 1.",
    {{{"address", "as configured"}, {"reason", "as the system says it"}}}};

// ---- Journal ----------------------------------------------------------------------------------------------
inline constexpr Event<kFlag, kFlag, kMillis> kClockOrigin{
    "clock.origin",
    kInfo,
    "Node time, in which the journal's instants are: it runs on with the monotonic clock through restarts.",
    {{{"continued", "an earlier process's; else it begins at the wall clock"},
      {"saved", "later processes go on from it; else that is tried again every second"},
      {"ahead", "of the wall clock: what that was stepped back since node time began"}}}};
inline constexpr Event<kBytes> kJournalFound{
    "journal.found", kInfo, "What an earlier process left.", {{{"bytes", "read"}}}};
inline constexpr Event<kText, kBytes, kBytes> kJournalDamaged{
    "journal.damaged",
    kWarn,
    "A part of the journal could not be read; `indigosaddle journal verify` tells more.",
    {{{"reason", "what is wrong"}, {"kept", "bytes that were good"}, {"bytes", "of the file"}}}};
inline constexpr Event<kText> kResumed{"journal.resumed",
                                       kInfo,
                                       "What the journal held is taken up again.",
                                       {{{"what", "messages and notices"}}}};
inline constexpr Event<kFlag> kJournalWritable{"journal.writable",
                                               kWarn,
                                               "The journal stopped (false) or began again (true) to take "
                                               "writes; new messages are answered -BUSY between.",
                                               {{{"ok", "whether it takes writes"}}}};

// ---- List and platform ------------------------------------------------------------------------------------
inline constexpr Event<kText> kKnownUnreadable{"list.known_unreadable",
                                               kWarn,
                                               "The list in the configuration can't be read.",
                                               {{{"where", "its name"}}}};
inline constexpr Event<kCount, kText> kListSkipped{
    "list.skipped",
    kWarn,
    "An entry of the list was malformed and left out.",
    {{{"version", "of the list"}, {"entry", "which, and what is wrong"}}}};
inline constexpr Event<kText> kWatchLost{
    "list.watch_lost",
    kWarn,
    "The watch of the list ended; it is asked for again. Told once for each reason until a list comes.",
    {{{"reason", "how it ended"}}}};
inline constexpr Event<kCount> kWatchBack{
    "list.watch_back",
    kInfo,
    "The list came again after losses of its watch that were counted and not told.",
    {{{"untold", "losses since the first was told"}}}};
inline constexpr Event<kText, kText> kDiscoveryMoved{"list.moved",
                                                     kInfo,
                                                     "Discovery and notices moved to another address.",
                                                     {{{"from", "the old address"}, {"to", "the new one"}}}};
inline constexpr Event<kText> kNoticeUnreadable{
    "notice.unreadable",
    kError,
    "The platform could not read a notice; it is given up and its client hears nothing.",
    {{{"line", "the notice"}}}};

// ---- Control socket ---------------------------------------------------------------------------------------
inline constexpr Event<kText> kControlOpen{
    "control.open", kInfo, "The control socket takes requests.", {{{"path", "of the socket"}}}};
inline constexpr Event<kText, kText> kControlFailed{
    "control.failed",
    kError,
    "The control socket can't be opened; the node serves without it.",
    {{{"path", "of the socket"}, {"reason", "as the system says it"}}}};
inline constexpr Event<kCount, kText> kControlRefused{
    "control.refused",
    kWarn,
    "A peer at the control socket was turned away.",
    {{{"uid", "of the peer, where known"}, {"reason", "why"}}}};

// ---- Operations -------------------------------------------------------------------------------------------
inline constexpr Event<kText> kJournalShared{
    "journal.shared",
    kInfo,
    "Another process serves from the state folder: this one keeps a journal of its own until that one ends.",
    {{{"folder", "the state folder"}}}};
inline constexpr Event<kBytes> kJournalTakenOver{
    "journal.taken_over",
    kInfo,
    "The process before this one has ended; what it left is resumed here.",
    {{{"bytes", "read"}}}};
inline constexpr Event<kCount, kCount> kQuiesced{
    "quiesced",
    kInfo,
    "Asked to empty: PING says no, clients are let go between requests, held messages go on.",
    {{{"open", "messages held"}, {"clients", "connections of clients"}}}};
inline constexpr Event<kCount, kCount> kResumedWork{
    "resumed.work",
    kInfo,
    "Back to work after a quiesce: PING says yes.",
    {{{"open", "messages held"}, {"clients", "connections"}}}};

// ---- The log itself ---------------------------------------------------------------------------------------
inline constexpr Event<kText, kCount> kLogHeldBack{
    "log.held_back",
    kWarn,
    "Lines of one event past the bound for a second were not written.",
    {{{"of", "the event"}, {"lines", "how many"}}}};
inline constexpr Event<kCount> kLogDropped{"log.dropped",
                                           kWarn,
                                           "Lines were lost while what reads the log did not read.",
                                           {{{"lines", "how many"}}}};

// Calls `visit` with each event, in the order of the page.
template <typename Visitor>
void ForEachEvent(Visitor&& visit) {
  const auto all = [&](const auto&... events) { (visit(events), ...); };
  all(kServing, kStopping, kPhaseEntered, kLifecycleBreak, kStopped, kReport, kWatch, kFolderUnusable,
      kListenFailed, kClockOrigin, kJournalFound, kJournalDamaged, kResumed, kJournalWritable,
      kKnownUnreadable, kListSkipped, kWatchLost, kWatchBack, kDiscoveryMoved, kNoticeUnreadable,
      kMessageEnded, kMessageDelivered, kMessageResumed, kRequestRefused, kCallEnded, kCallDelivered,
      kConnectionUnasked, kAnswerNotBelieved, kMessageDoubted, kConnectionClosed, kTrustBreak,
      kConnectionReport, kRecovery, kClientEnded, kConfigServes, kConfigStartsWith, kConfigRefused,
      kConfigOnTrial, kConfigKept, kConfigUndone, kConfigInterrupted, kConfigNeedsRestart, kConfigRead,
      kReloadIgnored, kClassRules, kRulesUnknown, kRulesUnsure, kConfigUnusable, kConfigSame,
      kConfigStoreFailed, kControlOpen, kControlFailed, kControlRefused, kJournalShared, kJournalTakenOver,
      kQuiesced, kResumedWork, kFleetMember, kFleetStanding, kFleetLease, kFleetSite, kFleetSenders,
      kFleetTrouble, kLogHeldBack, kLogDropped);
}

}  // namespace indigosaddle::base

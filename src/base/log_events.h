// The table of all events that the node logs: stable name, level, description and fields. docs/logging.md is
// generated from it (`indigosaddle docs logging`), and a test fails if that page is stale. Names of events
// and fields never change once released, because people search logs for them. A new event is added here, or
// in one of the included headers, and to ForEachEvent.
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
    "The node listens and accepts messages.",
    {{{"address", "the bound address, to which clients connect"},
      {"version", "version of the program"},
      {"clients", "limit of client connections"},
      {"calls", "limit of connections to endpoints"},
      {"disk", "limit for the size of the state folder"}}}};
inline constexpr Event<kCount> kStopping{
    "stopping",
    kInfo,
    "A shutdown was requested; the process ends at most 3.2 s after the signal.",
    {{{"open", "messages held"}}}};
inline constexpr Event<kCount, kCount> kStopped{
    "stopped",
    kInfo,
    "The process ends; pending messages and notices stay in the journal.",
    {{{"open", "pending messages, which the next process resumes"},
      {"notices", "notices that the platform has not answered yet"}}}};
inline constexpr Event<kCount, kCount, kCount, kCount, kCount, kCount, kCount, kCount, kBytes, kText, kCount,
                       kCount, kNumber, kCount, kText, kCount>
    kReport{"report",
            kInfo,
            "Every 10 s: totals since the start, and the current state.",
            {{{"taken", "messages answered +OK"},
              {"busy", "messages answered -BUSY"},
              {"failed", "messages answered -ERR by the delivery policy"},
              {"open", "messages held now"},
              {"notices", "notices that the platform has not answered yet"},
              {"clients", "client connections now"},
              {"calls", "connections to endpoints now"},
              {"opened", "connections opened to endpoints since the start"},
              {"journal", "size of the journal"},
              {"endings", "calls by outcome, counted since the start"},
              {"lines_dropped", "log lines lost since the start because the reader did not read in time"},
              {"recovering", "destinations that are not warm (healthy) now"},
              {"slow_start_calls", "calls made from slow start allowances since the start"},
              {"watch_losses", "times since the start that the watch of the list was lost, logged or not"},
              {"clients_ended", "ended client connections by cause, counted since the start"},
              {"rules_unsure",
               "messages since the start for which it is unknown which rules were in force when they were "
               "written"}}}};
inline constexpr Event<kCount, kText> kShadowReport{
    "watch",
    kInfo,
    "Every 10 s while a shadow evaluation runs: how often the evaluated settings would have decided "
    "differently.",
    {{{"messages", "messages compared since the start"},
      {"otherwise", "messages by what the evaluated settings would have done instead, since the start"}}}};
inline constexpr Event<kText, kText> kStateFolderUnusable{
    "folder.unusable",
    kError,
    "The state folder can't be used; a starting process ends with status 1.",
    {{{"folder", "path of the state folder"}, {"reason", "what went wrong"}}}};
inline constexpr Event<kText, kText> kListenFailed{
    "listen.failed",
    kError,
    "The node can't listen on an address; a starting process ends with status 1.",
    {{{"address", "configured address"}, {"reason", "what went wrong"}}}};

// ---- Journal ----------------------------------------------------------------------------------------------
inline constexpr Event<kFlag, kFlag, kMillis> kClockOrigin{
    "clock.origin",
    kInfo,
    "The origin of node time, which the journal uses. Node time follows the monotonic clock and continues "
    "across restarts.",
    {{{"continued", "whether it continues an earlier process's; otherwise it begins at the wall clock"},
      {"saved", "whether it is saved for later processes; if not, saving is tried again every second"},
      {"ahead", "how far node time is ahead of the wall clock, which was set back since node time began"}}}};
inline constexpr Event<kBytes> kJournalFound{
    "journal.found", kInfo, "The journal left by an earlier process was read.", {{{"bytes", "bytes read"}}}};
inline constexpr Event<kText, kBytes, kBytes> kJournalDamaged{
    "journal.damaged",
    kWarn,
    "A part of the journal can't be read; `indigosaddle journal verify` shows details.",
    {{{"reason", "what is wrong"},
      {"kept", "bytes before the damage, which are used"},
      {"bytes", "size of the file"}}}};
inline constexpr Event<kText> kJournalResumed{"journal.resumed",
                                              kInfo,
                                              "Work from the journal is resumed.",
                                              {{{"what", "the messages and notices that are resumed"}}}};
inline constexpr Event<kFlag> kJournalWritable{
    "journal.writable",
    kWarn,
    "The journal can no longer be written (false), or can be written again (true). In between, new messages "
    "are answered -BUSY.",
    {{{"ok", "whether it can be written"}}}};

// ---- List and platform ------------------------------------------------------------------------------------
inline constexpr Event<kText> kConfiguredListUnreadable{"list.known_unreadable",
                                                        kWarn,
                                                        "The list in the configuration can't be read.",
                                                        {{{"where", "name of the setting"}}}};
inline constexpr Event<kCount, kText> kListEntrySkipped{
    "list.skipped",
    kWarn,
    "An entry of the list is malformed and was skipped.",
    {{{"version", "version of the list"}, {"entry", "which entry, and what is wrong with it"}}}};
inline constexpr Event<kText> kListWatchLost{"list.watch_lost",
                                             kWarn,
                                             "The watch of the list ended; the node requests it again. "
                                             "Logged once for each reason until a list arrives.",
                                             {{{"reason", "how it ended"}}}};
inline constexpr Event<kCount> kListWatchRestored{
    "list.watch_back",
    kInfo,
    "The list arrived again after losses of its watch that were counted but not logged.",
    {{{"untold", "losses that were not logged"}}}};
inline constexpr Event<kText, kText, kMillis> kListLimited{
    "list.limited",
    kWarn,
    "Discovery responds but sends no list: the one at hand may be outdated, and is used only a little "
    "longer.",
    {{{"address", "address of discovery that sends no list"},
      {"reason", "how the latest request there failed"},
      {"left", "time until nothing new is sent by this list"}}}};
inline constexpr Event<kText, kText> kListOutdated{
    "list.outdated",
    kError,
    "Nothing new is sent from now on, until discovery sends the list. Messages are accepted and held.",
    {{{"address", "address of discovery that sends no list"},
      {"reason", "how the latest request there failed"}}}};
inline constexpr Event<kText, kMillis> kListValid{
    "list.valid",
    kInfo,
    "The list is confirmed after list.limited or list.outdated.",
    {{{"address", "address of discovery in use"}, {"stopped", "for how long nothing new was sent"}}}};
inline constexpr Event<kText, kText> kDiscoveryAddressChanged{
    "list.moved",
    kInfo,
    "The configured address of discovery changed; notices go to it too.",
    {{{"from", "the old address"}, {"to", "the new address"}}}};
inline constexpr Event<kText> kNoticeUnreadable{
    "notice.unreadable",
    kError,
    "The platform could not read a notice; it is given up, and the client is not told the outcome.",
    {{{"line", "the notice"}}}};

// ---- Control socket ---------------------------------------------------------------------------------------
inline constexpr Event<kText> kControlOpen{
    "control.open", kInfo, "The control socket accepts requests.", {{{"path", "path of the socket"}}}};
inline constexpr Event<kText, kText> kControlFailed{
    "control.failed",
    kError,
    "The control socket can't be opened; the node serves without it.",
    {{{"path", "path of the socket"}, {"reason", "what went wrong"}}}};
inline constexpr Event<kCount, kText> kControlRefused{
    "control.refused",
    kWarn,
    "A peer at the control socket was rejected.",
    {{{"uid", "user id of the peer, if known"}, {"reason", "why it was rejected"}}}};

// ---- Operations -------------------------------------------------------------------------------------------
inline constexpr Event<kText> kJournalShared{
    "journal.shared",
    kInfo,
    "Another process serves from the state folder; this one accepts no client until that process ends.",
    {{{"folder", "path of the state folder"}}}};
inline constexpr Event<kMillis> kStandbyLimit{"journal.standby",
                                              kWarn,
                                              "The previous process has not been stopped; until it ends, "
                                              "this one accepts no client and begins no call.",
                                              {{{"after", "how long this process has waited"}}}};
inline constexpr Event<kBytes> kJournalTakenOver{
    "journal.taken_over",
    kInfo,
    "The previous process has ended; this one resumes its pending work.",
    {{{"bytes", "bytes read"}}}};
inline constexpr Event<kCount, kCount> kQuiesced{
    "quiesced",
    kInfo,
    "An operator quiesced the node: PING is answered with an error, clients are disconnected between "
    "requests, held messages are still delivered.",
    {{{"open", "messages held"}, {"clients", "client connections"}}}};
inline constexpr Event<kCount, kCount> kQuiesceEnded{
    "resumed.work",
    kInfo,
    "The node serves again after it was quiesced: PING is answered +PONG.",
    {{{"open", "messages held"}, {"clients", "client connections"}}}};

// ---- The log itself ---------------------------------------------------------------------------------------
inline constexpr Event<kText, kCount> kLogSuppressed{
    "log.held_back",
    kWarn,
    "Lines of one event were not written because they exceeded its limit for a second.",
    {{{"of", "name of the event"}, {"lines", "number of lines"}}}};
inline constexpr Event<kCount> kLogDropped{"log.dropped",
                                           kWarn,
                                           "Log lines were lost because the reader did not read in time.",
                                           {{{"lines", "number of lines"}}}};

// Calls `visit` with each event, in the order of docs/logging.md.
template <typename Visitor>
void ForEachEvent(Visitor&& visit) {
  const auto visit_each = [&](const auto&... events) { (visit(events), ...); };
  visit_each(
      kServing, kStopping, kPhaseEntered, kLifecycleViolation, kStopped, kReport, kShadowReport,
      kStateFolderUnusable, kListenFailed, kClockOrigin, kJournalFound, kJournalDamaged, kJournalResumed,
      kJournalWritable, kConfiguredListUnreadable, kListEntrySkipped, kListWatchLost, kListWatchRestored,
      kListLimited, kListOutdated, kListValid, kDiscoveryAddressChanged, kNoticeUnreadable, kMessageEnded,
      kMessageDelivered, kMessageResumed, kRequestRefused, kCallEnded, kCallDelivered, kUnsolicitedBytes,
      kAnswerNotTrusted, kDeliveryRetracted, kConnectionClosed, kConnectionTrustViolation, kConnectionReport,
      kRecovery, kClientEnded, kConfigGenerationAtStart, kPlatformDocumentAtStart, kConfigRefused,
      kConfigOnTrial, kConfigAccepted, kConfigRolledBack, kConfigTrialInterrupted, kConfigNeedsRestart,
      kConfigReloaded, kReloadIgnored, kClassRulesChanged, kPriorRulesUnknown, kMessageRulesUnknown,
      kConfigUnusable, kConfigUnchanged, kConfigStoreFailed, kControlOpen, kControlFailed, kControlRefused,
      kJournalShared, kStandbyLimit, kJournalTakenOver, kQuiesced, kQuiesceEnded, kFleetMember,
      kFleetConnectivity, kFleetLease, kFleetSite, kFleetSenders, kFleetProblem, kLogSuppressed, kLogDropped);
}

}  // namespace indigosaddle::base

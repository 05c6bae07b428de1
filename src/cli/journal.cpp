#include "state/journal.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

#include "cli/cli.h"
#include "state/attempt_result.h"

namespace indigosaddle::cli {
namespace {

using nlohmann::json;
using state::Record;

// What the journal says about one message.
struct Message {
  state::AcceptedMessage accepted;
  int attempts = 0;
  bool in_flight = false;
  bool connecting = false;
  bool may_have_run = false;
  bool finished = false;  // neither a delivery nor a notice is pending
  std::string status = "owed";
};

// Summarizes the records by message, for people. The node itself reads a journal with the reducer
// (src/state/reducer.h).
std::map<state::Serial, Message> MessagesOf(const std::vector<Record>& records) {
  std::map<state::Serial, Message> all;
  for (const Record& record : records) {
    if (const auto* r = std::get_if<state::AcceptedMessage>(&record)) all[r->serial].accepted = *r;
    if (const auto* r = std::get_if<state::AttemptConnecting>(&record)) {
      ++all[r->serial].attempts;
      all[r->serial].in_flight = all[r->serial].connecting = true;
    }
    if (const auto* r = std::get_if<state::AttemptStarted>(&record)) {
      if (!std::exchange(all[r->serial].connecting, false)) ++all[r->serial].attempts;
      all[r->serial].in_flight = true;
    }
    if (const auto* r = std::get_if<state::AttemptFinished>(&record)) {
      all[r->serial].in_flight = all[r->serial].connecting = false;
      all[r->serial].may_have_run |= state::MayHaveRun(r->result);
    }
    if (const auto* r = std::get_if<state::AttemptHistory>(&record)) {
      all[r->serial].attempts = r->past.attempts;
      all[r->serial].may_have_run = r->past.may_have_run;
    }
    if (const auto* r = std::get_if<state::MessageEnded>(&record)) {
      all[r->serial].status = r->end == state::MessageEnd::kNoNotice   ? "delivered or withdrawn"
                              : r->end == state::MessageEnd::kReturned ? "returned, notice owed"
                                                                       : "failed, notice owed";
      all[r->serial].finished = r->end == state::MessageEnd::kNoNotice;
    }
    if (const auto* r = std::get_if<state::NoticeAccepted>(&record)) {
      all[r->serial].status = "told";
      all[r->serial].finished = true;
    }
  }
  return all;
}

// A journal file and what was parsed from it.
struct LoadedJournal {
  std::string path;
  std::string bytes;
  state::ParsedJournal journal;
};

// Reads the journal in a state folder. Throws CommandError if it can't be read; damage is in `journal.error`.
LoadedJournal LoadJournal(const std::string& folder) {
  LoadedJournal loaded;
  loaded.path = folder + "/journal";
  loaded.bytes = ReadFileText(loaded.path);
  loaded.journal = state::ParseJournal(loaded.bytes);
  return loaded;
}

// Checks the journal and prints its size. Throws CommandError if it is damaged.
void Verify(const std::string& folder, bool as_json) {
  const LoadedJournal loaded = LoadJournal(folder);
  const state::ParsedJournal& journal = loaded.journal;
  std::size_t pending = 0;
  for (const auto& [serial, message] : MessagesOf(journal.records)) pending += message.finished ? 0 : 1;
  if (as_json) {
    fmt::print("{}\n", json{{"whole", journal.error.empty()},
                            {"bytes", loaded.bytes.size()},
                            {"good_bytes", journal.valid_bytes},
                            {"records", journal.records.size()},
                            {"owed", pending},
                            {"trouble", journal.error}}
                           .dump());
  } else {
    fmt::print("{}: {} records, {} messages owed\n", loaded.path, journal.records.size(), pending);
  }
  if (journal.error.empty()) return;
  throw CommandError(
      ExitStatus::kProblemFound,
      as_json ? ""
              : fmt::format("{}: at byte {} of {}: {}; the {} records before it are whole", loaded.path,
                            journal.valid_bytes, loaded.bytes.size(), journal.error, journal.records.size()));
}

// Prints the messages in the journal: all, or those that are not finished. Throws CommandError if the journal
// is damaged.
void Inspect(const std::string& folder, bool as_json, bool all) {
  const LoadedJournal loaded = LoadJournal(folder);
  json messages = json::array();
  if (!as_json) {
    fmt::print("{:>8}  {:<32}  {:<12}  {:<12}  {:>6}  {:>5}  {:>8}  {:<21}  {}\n", "number", "id", "class",
               "tenant", "dest", "tries", "bytes", "give up at", "state");
  }
  for (const auto& [serial, message] : MessagesOf(loaded.journal.records)) {
    if (message.finished && !all) continue;
    const std::string state = message.status == "owed"
                                  ? fmt::format("owed{}{}", message.in_flight ? ", call out" : "",
                                                message.may_have_run ? ", may have run" : "")
                                  : message.status;
    const std::int64_t deadline_millis = message.accepted.deadline.count() / 1000;
    if (as_json) {
      const auto text = [](const std::string& s) { return json(s); };
      messages.push_back({{"number", serial},
                          {"id", text(message.accepted.id)},
                          {"class", text(message.accepted.message_class)},
                          {"tenant", text(message.accepted.tenant)},
                          {"destination", message.accepted.destination},
                          {"attempts", message.attempts},
                          {"body_bytes", message.accepted.body.size()},
                          {"give_up_at_ms", deadline_millis},
                          {"state", state}});
    } else {
      fmt::print("{:>8}  {:<32}  {:<12}  {:<12}  {:>6}  {:>5}  {:>8}  {:<21}  {}\n", serial,
                 message.accepted.id.substr(0, 32), message.accepted.message_class, message.accepted.tenant,
                 message.accepted.destination, message.attempts, message.accepted.body.size(),
                 FormatTime(deadline_millis), state);
    }
  }
  if (as_json) fmt::print("{}\n", messages.dump(2, ' ', false, json::error_handler_t::replace));
  if (!loaded.journal.error.empty()) {
    throw CommandError(
        ExitStatus::kProblemFound,
        fmt::format("{}: at byte {}: {}", loaded.path, loaded.journal.valid_bytes, loaded.journal.error));
  }
}

}  // namespace

void AddJournal(CLI::App& parent) {
  auto* journal = parent.add_subcommand("journal", "Reads the journal in a state folder; changes nothing");
  journal->require_subcommand(1);
  journal->footer(
      "Examples:\n  indigosaddle journal inspect /var/lib/indigosaddle\n"
      "  indigosaddle journal verify /var/lib/indigosaddle --json");
  struct Options {
    std::string folder;
    bool json = false, all = false;
  };
  auto options = std::make_shared<Options>();
  auto* inspect =
      journal->add_subcommand("inspect", "Lists the messages whose delivery or notice is still pending");
  inspect->footer("Example:\n  indigosaddle journal inspect /var/lib/indigosaddle --all");
  inspect->add_option("DIR", options->folder, "The state folder")->required();
  inspect->add_flag("--json", options->json, "As JSON");
  inspect->add_flag("--all", options->all, "Also list messages of which nothing is pending any more");
  inspect->callback([options] { Inspect(options->folder, options->json, options->all); });
  auto* verify =
      journal->add_subcommand("verify", "Checks that the journal is undamaged; exit status 3 if it is not");
  verify->footer("Example:\n  indigosaddle journal verify /var/lib/indigosaddle");
  verify->add_option("DIR", options->folder, "The state folder")->required();
  verify->add_flag("--json", options->json, "As JSON");
  verify->callback([options] { Verify(options->folder, options->json); });
}

}  // namespace indigosaddle::cli

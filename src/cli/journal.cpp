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

struct Message {
  state::AcceptedMessage taken;
  int attempts = 0;
  bool out = false, connecting = false, may_have_run = false, over = false;
  std::string end = "owed";
};

// What the records say of each message, in words; the node's own reading is the reducer's.
std::map<state::Serial, Message> Messages(const std::vector<Record>& records) {
  std::map<state::Serial, Message> all;
  for (const Record& record : records) {
    if (const auto* r = std::get_if<state::AcceptedMessage>(&record)) all[r->serial].taken = *r;
    if (const auto* r = std::get_if<state::AttemptConnecting>(&record))
      ++all[r->serial].attempts, all[r->serial].out = all[r->serial].connecting = true;
    if (const auto* r = std::get_if<state::AttemptStarted>(&record)) {
      if (!std::exchange(all[r->serial].connecting, false)) ++all[r->serial].attempts;
      all[r->serial].out = true;
    }
    if (const auto* r = std::get_if<state::AttemptFinished>(&record)) {
      all[r->serial].out = all[r->serial].connecting = false;
      all[r->serial].may_have_run |= state::MayHaveRun(r->result);
    }
    if (const auto* r = std::get_if<state::AttemptHistory>(&record)) {
      all[r->serial].attempts = r->past.attempts;
      all[r->serial].may_have_run = r->past.may_have_run;
    }
    if (const auto* r = std::get_if<state::MessageEnded>(&record)) {
      all[r->serial].end = r->end == state::MessageEnd::kNoNotice   ? "delivered or withdrawn"
                           : r->end == state::MessageEnd::kReturned ? "returned, notice owed"
                                                                    : "failed, notice owed";
      all[r->serial].over = r->end == state::MessageEnd::kNoNotice;
    }
    if (const auto* r = std::get_if<state::NoticeAccepted>(&record))
      all[r->serial].end = "told", all[r->serial].over = true;
  }
  return all;
}

struct Read {
  std::string path, bytes;
  state::ParsedJournal journal;
};

Read Open(const std::string& folder) {
  Read read;
  read.path = folder + "/journal";
  read.bytes = ReadText(read.path);
  read.journal = state::ParseJournal(read.bytes);
  return read;
}

void Verify(const std::string& folder, bool as_json) {
  const Read read = Open(folder);
  const state::ParsedJournal& journal = read.journal;
  std::size_t owed = 0;
  for (const auto& [serial, message] : Messages(journal.records)) owed += message.over ? 0 : 1;
  if (as_json) {
    fmt::print("{}\n", json{{"whole", journal.error.empty()},
                            {"bytes", read.bytes.size()},
                            {"good_bytes", journal.valid_bytes},
                            {"records", journal.records.size()},
                            {"owed", owed},
                            {"trouble", journal.error}}
                           .dump());
  } else {
    fmt::print("{}: {} records, {} messages owed\n", read.path, journal.records.size(), owed);
  }
  if (journal.error.empty()) return;
  throw Failure(
      Exit::kFound,
      as_json ? ""
              : fmt::format("{}: at byte {} of {}: {}; the {} records before it are whole", read.path,
                            journal.valid_bytes, read.bytes.size(), journal.error, journal.records.size()));
}

void Inspect(const std::string& folder, bool as_json, bool all) {
  const Read read = Open(folder);
  json list = json::array();
  if (!as_json) {
    fmt::print("{:>8}  {:<32}  {:<12}  {:<12}  {:>6}  {:>5}  {:>8}  {:<21}  {}\n", "number", "id", "class",
               "tenant", "dest", "tries", "bytes", "give up at", "state");
  }
  for (const auto& [serial, m] : Messages(read.journal.records)) {
    if (m.over && !all) continue;
    const std::string state = m.end == "owed" ? fmt::format("owed{}{}", m.out ? ", call out" : "",
                                                            m.may_have_run ? ", may have run" : "")
                                              : m.end;
    const std::int64_t millis = m.taken.deadline.count() / 1000;
    if (as_json) {
      const auto text = [](const std::string& s) { return json(s); };
      list.push_back({{"number", serial},
                      {"id", text(m.taken.id)},
                      {"class", text(m.taken.message_class)},
                      {"tenant", text(m.taken.tenant)},
                      {"destination", m.taken.destination},
                      {"attempts", m.attempts},
                      {"body_bytes", m.taken.body.size()},
                      {"give_up_at_ms", millis},
                      {"state", state}});
    } else {
      fmt::print("{:>8}  {:<32}  {:<12}  {:<12}  {:>6}  {:>5}  {:>8}  {:<21}  {}\n", serial,
                 m.taken.id.substr(0, 32), m.taken.message_class, m.taken.tenant, m.taken.destination,
                 m.attempts, m.taken.body.size(), TimeOf(millis), state);
    }
  }
  if (as_json) fmt::print("{}\n", list.dump(2, ' ', false, json::error_handler_t::replace));
  if (!read.journal.error.empty()) {
    throw Failure(Exit::kFound,
                  fmt::format("{}: at byte {}: {}", read.path, read.journal.valid_bytes, read.journal.error));
  }
}

}  // namespace

void AddJournal(CLI::App& parent) {
  auto* journal = parent.add_subcommand("journal", "Looks at the journal of a state folder; changes nothing");
  journal->require_subcommand(1);
  journal->footer(
      "Examples:\n  indigosaddle journal inspect /var/lib/indigosaddle\n"
      "  indigosaddle journal verify /var/lib/indigosaddle --json");
  struct Options {
    std::string folder;
    bool json = false, all = false;
  };
  auto options = std::make_shared<Options>();
  auto* inspect = journal->add_subcommand("inspect", "The messages that are owed");
  inspect->footer("Example:\n  indigosaddle journal inspect /var/lib/indigosaddle --all");
  inspect->add_option("DIR", options->folder, "The state folder")->required();
  inspect->add_flag("--json", options->json, "As JSON");
  inspect->add_flag("--all", options->all, "Also those that are over");
  inspect->callback([options] { Inspect(options->folder, options->json, options->all); });
  auto* verify = journal->add_subcommand("verify", "Whether the journal is whole; status 3 where it is not");
  verify->footer("Example:\n  indigosaddle journal verify /var/lib/indigosaddle");
  verify->add_option("DIR", options->folder, "The state folder")->required();
  verify->add_flag("--json", options->json, "As JSON");
  verify->callback([options] { Verify(options->folder, options->json); });
}

}  // namespace indigosaddle::cli

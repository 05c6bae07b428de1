#include "wire/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <istream>
#include <limits>
#include <ostream>

#include "wire/fields.h"
#include "wire/settings.h"

namespace indigosaddle::wire {
namespace {

constexpr std::uint64_t kMaxLists = 16;        // lists are numbered 0 to 15
constexpr std::uint64_t kMaxRows = 1'000'000;  // a larger count can only come from bad input

std::pair<std::string_view, std::string_view> NameAndRest(std::string_view line) {
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return {line, {}};
  return {line.substr(0, space), line.substr(space + 1)};
}

int Index(const Fields& fields, std::string_view name) {
  const std::int64_t value = fields.Integer(name, 0);
  if (value < 0 || value > std::numeric_limits<int>::max()) fields.Reject(name, "an index from 0 up");
  return static_cast<int>(value);
}

// A destination is a whole number, which the protocol may write with a decimal point.
std::uint64_t Destination(const Fields& fields, std::string_view name) {
  fields.Text(name);
  const double value = fields.Number(name, 0);
  if (value < 0 || value > 9e15 || value != std::floor(value))
    fields.Reject(name, "a whole number from 0 up");
  return static_cast<std::uint64_t>(value);
}

Result ReadResult(const Fields& fields) {
  switch (fields.Integer("status")) {
    case 200: return Result::kOk;
    case 500: return Result::kError;
    case 503: return Result::kRefused;
    case 504: return Result::kTimeout;
    case 502: return Result::kNoConnection;
    case 598: return Result::kReset;
    case 499: return Result::kCancelled;
    case 410: return Result::kNotSent;
    default: fields.Reject("status", "a completion code");
  }
}

LoadReport ReadLoad(const Fields& fields) {
  LoadReport report;
  for (std::string_view pair : Split(fields.Find("gauge").value_or(""), ',')) {
    const std::size_t colon = pair.find(':');
    if (pair == "-") continue;
    if (colon == std::string_view::npos) fields.Reject("gauge", "name:value pairs");
    double value = 0;
    const char* end = pair.data() + pair.size();
    const auto [stop, error] = std::from_chars(pair.data() + colon + 1, end, value);
    if (error != std::errc() || stop != end || !std::isfinite(value)) {
      fields.Reject("gauge", "finite numbers in name:value pairs");
    }
    if (pair.substr(0, colon) == "x0") report.left = value;
    if (pair.substr(0, colon) == "x1") report.limit = value;
  }
  return report;
}

Endpoint ReadRow(const Fields& fields) {
  Endpoint entry;
  entry.id = fields.Text("endpoint");
  entry.zone = Index(fields, "locality");
  entry.kind = Index(fields, "familyType");
  entry.destination = Destination(fields, "destination");
  entry.weight = std::max(0.0, fields.Number("heft", 0));
  const std::string_view state = fields.Text("state");
  if (state == "ready") {
    entry.state = EndpointState::kReady;
  } else if (state == "draining") {
    entry.state = EndpointState::kDraining;
  } else if (state == "gone") {
    entry.state = EndpointState::kGone;
  } else {
    fields.Reject("state", "ready, draining or gone");
  }
  return entry;
}

ListMode ReadMode(const Fields& fields) {
  const std::string_view mode = fields.Text("mode");
  if (mode == "delta") return ListMode::kChanges;
  if (mode == "full") return ListMode::kWhole;
  if (mode == "cached") return ListMode::kCached;
  if (mode == "failed") return ListMode::kFailed;
  fields.Reject("mode", "delta, full, cached or failed");
}

Message ReadMessage(const Fields& fields) {
  Message message;
  message.id = fields.Unsigned("opId");
  message.message_class = Index(fields, "tierClass");
  message.tenant = Index(fields, "clientGroup");
  message.key = fields.Find("subject").value_or("");
  message.deadline = fields.Time("giveUpAt");
  message.destination = Destination(fields, "toDest");
  return message;
}

Outcome ReadOutcome(const Fields& fields) {
  Outcome outcome;
  outcome.id = fields.Unsigned("opId");
  outcome.attempt = Index(fields, "go");
  outcome.endpoint = fields.Text("endpoint");
  outcome.result = ReadResult(fields);
  outcome.latency = fields.Time("waitTime", Micros(0));
  outcome.last = fields.Flag("last", false);
  const Micros note = fields.Time("note", Micros(0));
  if (outcome.result == Result::kRefused) outcome.wait = note;
  outcome.load = ReadLoad(fields);
  return outcome;
}

ProbeResult ReadProbe(const Fields& fields) {
  return {std::string(fields.Text("endpoint")), ReadResult(fields), fields.Time("waitTime", Micros(0)),
          ReadLoad(fields)};
}

}  // namespace

WireError::WireError(int line, std::string_view field, std::string_view expected)
    : std::runtime_error("batch line " + std::to_string(line) + ": field '" + std::string(field) +
                         "': expected " + std::string(expected)) {}

Decoder::Decoder(std::istream& in, std::ostream& notes) : in_(in), notes_(notes) {}

bool Decoder::ReadLine() {
  if (!std::getline(in_, line_)) return false;
  ++line_number_;
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

std::shared_ptr<const std::vector<Endpoint>> Decoder::ReadRows(std::uint64_t count) {
  auto rows = std::make_shared<std::vector<Endpoint>>();
  for (std::uint64_t i = 0; i < count; ++i) {
    if (!ReadLine())
      throw WireError(line_number_ + 1, "row", "as many rows as items says, not the end of input");
    const auto [name, rest] = NameAndRest(line_);
    if (name != "row") throw WireError(line_number_, name, "a row, as items says");
    rows->push_back(ReadRow(Fields(rest, line_number_)));
  }
  return rows;
}

std::optional<Batch> Decoder::Next() {
  line_number_ = 0;
  do {  // skip blank lines between batches
    line_number_ = 0;
    if (!ReadLine()) return std::nullopt;
  } while (line_.empty());
  Batch batch;
  {
    const auto [name, rest] = NameAndRest(line_);
    if (name != "turn") throw WireError(line_number_, name, "a turn line");
    batch.now = Fields(rest, line_number_).Time("moment");
  }
  while (true) {
    if (!ReadLine()) throw WireError(line_number_ + 1, "eob", "the end of the batch, not the end of input");
    const auto [name, rest] = NameAndRest(line_);
    if (name == "eob") return batch;
    if (name.empty() || name.find('=') != std::string_view::npos) {
      throw WireError(line_number_, name, "an event name");
    }
    if (name == "turn" || name == "row") throw WireError(line_number_, name, "an event or eob");
    const Fields fields(rest, line_number_);
    if (name == "register") {
      const std::uint64_t list = fields.Unsigned("bank");
      const std::uint64_t count = fields.Unsigned("items");
      if (list >= kMaxLists) fields.Reject("bank", "0 to 15");
      if (count > kMaxRows) fields.Reject("items", "at most 1000000 rows");
      lists_[list] = ReadRows(count);
      continue;
    }
    Event event;
    if (name == "configure") {
      event.body = Configure{ReadSettings(fields)};
    } else if (name == "kill") {
      event.body = Kill{};
    } else if (name == "announce") {
      Announce announce{ReadMode(fields), nullptr};
      if (announce.mode != ListMode::kFailed) {
        auto list = lists_.find(fields.Unsigned("bank"));
        if (list == lists_.end()) fields.Reject("bank", "the number of a registered list");
        announce.entries = list->second;
      }
      event.body = std::move(announce);
    } else if (name == "inbound") {
      event.body = ReadMessage(fields);
    } else if (name == "settled") {
      event.body = ReadOutcome(fields);
    } else if (name == "status_back") {
      event.body = ReadProbe(fields);
    } else if (name == "reminder") {
      event.body = Reminder{fields.Unsigned("cookie")};
    } else if (name == "lapsed") {
      event.body = Withdrawn{fields.Unsigned("opId")};
    } else {
      if (name != "streaming" && name != "note_from" &&
          noted_unknown_events_.insert(std::string(name)).second) {
        notes_ << "passing over unknown event '" << name << "'\n";
      }
      continue;
    }
    event.node = fields.Integer("nodeId");
    batch.events.push_back(std::move(event));
  }
}

}  // namespace indigosaddle::wire

#include "base/log.h"

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <cmath>
#include <exception>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log_events.h"

namespace indigosaddle::base {
namespace {

constexpr std::size_t kMaxValueBytes = 4096;  // longer texts are cut, so that one line can't fill the queue

spdlog::level::level_enum ToSpdlogLevel(Level level) {
  switch (level) {
    case Level::kDebug: return spdlog::level::debug;
    case Level::kInfo: return spdlog::level::info;
    case Level::kWarn: return spdlog::level::warn;
    case Level::kError: return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::int64_t WallClockMillis() {
  using std::chrono::milliseconds;
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The text as a JSON string, cut to kMaxValueBytes. Both formats quote and escape by the rules of JSON.
std::string Quote(std::string_view text) {
  return nlohmann::json(std::string(text.substr(0, kMaxValueBytes)))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Whether a value can stand in a text line without quotes: printable ASCII without spaces, quotes,
// backslashes and equals signs.
bool NeedsNoQuotes(std::string_view text) {
  if (text.empty()) return false;
  for (const char character : text) {
    const auto c = static_cast<unsigned char>(character);
    if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c >= 0x7f) return false;
  }
  return true;
}

// Passes formatted lines to the queue and counts those that it drops.
class QueueSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  QueueSink(LineQueue& queue, std::uint64_t& dropped) : queue_(queue), dropped_(dropped) {}

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (!queue_.Add({line.data(), line.size()})) ++dropped_;
  }
  void flush_() override { queue_.Flush(); }

  LineQueue& queue_;
  std::uint64_t& dropped_;
};

}  // namespace

std::string_view NameOf(Level level) {
  switch (level) {
    case Level::kDebug: return "debug";
    case Level::kInfo: return "info";
    case Level::kWarn: return "warning";
    case Level::kError: return "error";
  }
  return "?";
}

std::string_view NameOf(FieldType type) {
  switch (type) {
    case FieldType::kText: return "text";
    case FieldType::kCount: return "count";
    case FieldType::kBytes: return "bytes";
    case FieldType::kNumber: return "number";
    case FieldType::kMillis: return "milliseconds";
    case FieldType::kFlag: return "true or false";
  }
  return "?";
}

Log::Log(std::string node, LogOptions options, int descriptor, std::size_t queue_bytes,
         std::function<std::int64_t()> wall_clock)
    : node_(std::move(node)),
      queue_(descriptor, queue_bytes),
      wall_clock_(wall_clock ? std::move(wall_clock) : WallClockMillis) {
  logger_ = std::make_unique<spdlog::logger>("node", std::make_shared<QueueSink>(queue_, dropped_));
  logger_->set_level(spdlog::level::trace);  // ShouldWrite has checked the level already
  Configure(options);
}

// If Tick throws, the queued lines are lost: the process is ending, and a destructor must not throw.
Log::~Log() {
  try {
    Tick();
  } catch (const std::exception&) {
    dropped_ += 1;
  }
}

void Log::Configure(const LogOptions& options) {
  options_ = options;
  const bool json = options.format == Format::kJson;
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})" : "%E.%e %l %v",
      spdlog::pattern_time_type::utc, "\n"));
}

// Whether to write a line: its level is enabled, and its event is below its limit for this second. Counts a
// line over the limit as suppressed.
bool Log::ShouldWrite(const char* event, Level level) {
  if (!IsEnabled(level)) return false;
  const std::int64_t second = wall_clock_() / 1000;
  EventRate& rate = event_rates_[event];
  if (rate.second != second) {
    ReportLostLines(second);
    rate.second = second;
    rate.lines = 0;
  }
  if (++rate.lines <= options_.lines_per_second) return true;
  ++rate.suppressed;
  return false;
}

// Logs how many lines of each event were suppressed before the current second `second`. Also logs how many
// lines were dropped, once the queue is empty again.
void Log::ReportLostLines(std::int64_t second) {
  for (auto& [name, rate] : event_rates_) {
    if (rate.suppressed == 0 || rate.second == second) continue;
    const std::uint64_t count = std::exchange(rate.suppressed, 0);
    Begin();
    PutText(kLogSuppressed.fields[0].name, name);
    PutRaw(kLogSuppressed.fields[1].name, std::to_string(count));
    Emit(kLogSuppressed.name, kLogSuppressed.level);
  }
  if (dropped_ == reported_dropped_ || queue_.waiting_bytes() > 0) return;
  Begin();
  PutRaw(kLogDropped.fields[0].name, std::to_string(dropped_ - reported_dropped_));
  reported_dropped_ = dropped_;
  Emit(kLogDropped.name, kLogDropped.level);
}

void Log::Tick() {
  queue_.Flush();
  ReportLostLines(wall_clock_() / 1000);
}

void Log::Begin() { fields_.clear(); }

void Log::PutRaw(const char* name, std::string_view value) {
  if (options_.format == Format::kJson) {
    fmt::format_to(std::back_inserter(fields_), ",\"{}\":{}", name, value);
  } else {
    fmt::format_to(std::back_inserter(fields_), " {}={}", name, value);
  }
}

void Log::PutText(const char* name, std::string_view value) {
  const bool bare = options_.format == Format::kText && NeedsNoQuotes(value) && value.size() < kMaxValueBytes;
  if (bare) return PutRaw(name, value);
  PutRaw(name, Quote(value));
}

void Log::PutNumber(const char* name, double value) {
  PutRaw(name, std::isfinite(value) ? fmt::format("{:.6g}", value) : "null");
}

void Log::Emit(const char* event, Level level) {
  const std::string text = options_.format == Format::kJson
                               ? fmt::format("\"node\":{},\"event\":\"{}\"{}", Quote(node_), event, fields_)
                               : fmt::format("{} {}{}", node_, event, fields_);
  ++written_;
  logger_->log(ToSpdlogLevel(level), spdlog::string_view_t(text));
}

}  // namespace indigosaddle::base

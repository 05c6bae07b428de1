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

constexpr std::size_t kLongestValue = 4096;  // a longer text is cut: one line must not take the whole ring

spdlog::level::level_enum ToSpd(Level level) {
  switch (level) {
    case Level::kDebug: return spdlog::level::debug;
    case Level::kInfo: return spdlog::level::info;
    case Level::kWarn: return spdlog::level::warn;
    case Level::kError: return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::int64_t WallMillis() {
  using std::chrono::milliseconds;
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Text in quotes where it has anything that a reader of words would trip over. JSON's own rules serve for
// both.
std::string Quoted(std::string_view text) {
  return nlohmann::json(std::string(text.substr(0, kLongestValue)))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool Plain(std::string_view text) {
  if (text.empty()) return false;
  for (const char character : text) {
    const auto c = static_cast<unsigned char>(character);
    if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c >= 0x7f) return false;
  }
  return true;
}

class RingSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  RingSink(LineRing& ring, std::uint64_t& dropped) : ring_(ring), dropped_(dropped) {}

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (!ring_.Add({line.data(), line.size()})) ++dropped_;
  }
  void flush_() override { ring_.Flush(); }

  LineRing& ring_;
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

Log::Log(std::string node, LogOptions options, int descriptor, std::size_t ring_bytes,
         std::function<std::int64_t()> wall)
    : node_(std::move(node)), ring_(descriptor, ring_bytes), wall_(wall ? std::move(wall) : WallMillis) {
  logger_ = std::make_unique<spdlog::logger>("node", std::make_shared<RingSink>(ring_, dropped_));
  logger_->set_level(spdlog::level::trace);  // Admit has judged already
  Configure(options);
}

// What waits is lost where even that throws: the process ends.
Log::~Log() {
  try {
    Tick();
  } catch (const std::exception&) {
    dropped_ += 1;
  }
}

void Log::Configure(const LogOptions& options) {
  options_ = options;
  const bool json = options.form == Form::kJson;
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})" : "%E.%e %l %v",
      spdlog::pattern_time_type::utc, "\n"));
}

bool Log::Admit(const char* event, Level level) {
  if (!Wants(level)) return false;
  const std::int64_t second = wall_() / 1000;
  Budget& budget = budgets_[event];
  if (budget.second != second) {
    SayHeldBack(second);
    budget.second = second, budget.lines = 0;
  }
  if (++budget.lines <= options_.lines_per_second) return true;
  ++budget.held_back;
  return false;
}

// Of seconds that are over. Also where room came back after lines were dropped.
void Log::SayHeldBack(std::int64_t second) {
  for (auto& [name, budget] : budgets_) {
    if (budget.held_back == 0 || budget.second == second) continue;
    const std::uint64_t count = std::exchange(budget.held_back, 0);
    Begin();
    PutText(kLogHeldBack.fields[0].name, name);
    PutRaw(kLogHeldBack.fields[1].name, std::to_string(count));
    Emit(kLogHeldBack.name, kLogHeldBack.level);
  }
  if (dropped_ == dropped_said_ || ring_.waiting() > 0) return;
  Begin();
  PutRaw(kLogDropped.fields[0].name, std::to_string(dropped_ - dropped_said_));
  dropped_said_ = dropped_;
  Emit(kLogDropped.name, kLogDropped.level);
}

void Log::Tick() {
  ring_.Flush();
  SayHeldBack(wall_() / 1000);
}

void Log::Begin() { fields_.clear(); }

void Log::PutRaw(const char* name, std::string_view value) {
  if (options_.form == Form::kJson) {
    fmt::format_to(std::back_inserter(fields_), ",\"{}\":{}", name, value);
  } else {
    fmt::format_to(std::back_inserter(fields_), " {}={}", name, value);
  }
}

void Log::PutText(const char* name, std::string_view value) {
  const bool bare = options_.form == Form::kText && Plain(value) && value.size() < kLongestValue;
  if (bare) return PutRaw(name, value);
  PutRaw(name, Quoted(value));
}

void Log::PutNumber(const char* name, double value) {
  PutRaw(name, std::isfinite(value) ? fmt::format("{:.6g}", value) : "null");
}

void Log::Emit(const char* event, Level level) {
  const std::string text = options_.form == Form::kJson
                               ? fmt::format("\"node\":{},\"event\":\"{}\"{}", Quoted(node_), event, fields_)
                               : fmt::format("{} {}{}", node_, event, fields_);
  ++written_;
  logger_->log(ToSpd(level), spdlog::string_view_t(text));
}

}  // namespace indigosaddle::base

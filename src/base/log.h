// Structured logging: one line per event, written to a descriptor as text or as JSON.
//
// Every event is a constant of src/base/log_events.h with a stable name, a level and typed fields; `Write`
// checks its arguments against the event at compile time. A reader that stops reading never blocks the
// caller: lines wait in a queue of bounded size. Lines that don't fit are dropped and counted, and the count
// is logged once the queue is empty again. The rate of each event is limited to a number of lines a second;
// suppressed lines are counted and reported too. spdlog does the formatting and the levels.
//
// A process has one Log, owned by the program. It must not be used from several threads. Nothing here throws.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

namespace spdlog {
class logger;
}

namespace indigosaddle::base {

enum class Level : std::uint8_t { kDebug, kInfo, kWarn, kError };
enum class Format : std::uint8_t { kText, kJson };

// kMillis is a duration, written in milliseconds; kBytes and kCount are whole numbers.
enum class FieldType : std::uint8_t { kText, kCount, kBytes, kNumber, kMillis, kFlag };

// The level's name in settings, log lines and docs/logging.md.
std::string_view NameOf(Level level);
// The type's name in docs/logging.md.
std::string_view NameOf(FieldType type);

// A field of an event: its name in log lines, and its description for docs/logging.md.
struct Field {
  const char* name;
  const char* description;
};

// An event that can be logged. `Types` are the types of its fields, in their order.
template <FieldType... Types>
struct Event {
  const char* name;
  Level level;
  const char* description;
  std::array<Field, sizeof...(Types)> fields;
};

namespace internal {
// The C++ type of the value of a field.
template <FieldType type>
struct ValueOf {
  using Type = std::uint64_t;  // kCount, kBytes
};
template <>
struct ValueOf<FieldType::kText> {
  using Type = std::string_view;
};
template <>
struct ValueOf<FieldType::kNumber> {
  using Type = double;
};
template <>
struct ValueOf<FieldType::kMillis> {
  using Type = std::chrono::microseconds;
};
template <>
struct ValueOf<FieldType::kFlag> {
  using Type = bool;
};
}  // namespace internal

// Output of log lines that never blocks: writes what the descriptor accepts at once, and queues the rest up
// to `max_bytes`.
class LineQueue {
 public:
  // The caller keeps ownership of `descriptor`. A pipe is opened a second time as non-blocking, because the
  // mode of the caller's descriptor may be shared with other processes and must not change.
  LineQueue(int descriptor, std::size_t max_bytes);
  ~LineQueue();
  LineQueue(const LineQueue&) = delete;
  LineQueue& operator=(const LineQueue&) = delete;

  // Writes or queues a line. False if there is no room: the line is dropped.
  bool Add(std::string_view line);
  // Writes as many queued lines as is possible without blocking.
  void Flush();
  std::size_t waiting_bytes() const { return waiting_bytes_; }

 private:
  std::ptrdiff_t WriteSome(std::string_view bytes) const;

  enum class Kind : std::uint8_t { kFile, kSocket, kReopenedPipe, kPolled };
  int descriptor_;
  Kind kind_ = Kind::kPolled;
  const std::size_t max_bytes_;
  std::deque<std::string> lines_;
  std::size_t front_offset_ = 0;  // bytes of the first line that have been written
  std::size_t waiting_bytes_ = 0;
};

struct LogOptions {
  Level min_level = Level::kInfo;
  Format format = Format::kText;
  int lines_per_second = 100;  // of each event
};

// Writes events as lines.
class Log {
 public:
  // `wall_clock` returns milliseconds since 1970 and is used for the rate limit alone; the time in a line is
  // spdlog's own. Empty: the system clock. `node` is the node's name, which each line has. The caller keeps
  // ownership of `descriptor`.
  explicit Log(std::string node, LogOptions options = {}, int descriptor = 2,
               std::size_t queue_bytes = std::size_t{256} * 1024,
               std::function<std::int64_t()> wall_clock = {});
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // Applies other options from the next line on.
  void Configure(const LogOptions& options);
  // Whether lines of this level are written.
  bool IsEnabled(Level level) const { return level >= options_.min_level; }

  // Logs an event. Takes one value per field, in the order of the event's fields.
  template <FieldType... Types>
  void Write(const Event<Types...>& event, const typename internal::ValueOf<Types>::Type&... values) {
    if (!ShouldWrite(event.name, event.level)) return;
    Begin();
    std::size_t i = 0;
    (Put<Types>(event.fields[i++].name, values), ...);
    Emit(event.name, event.level);
  }

  // Writes queued lines, and logs how many lines were suppressed or dropped. Call it about once a second.
  void Tick();
  std::size_t waiting_bytes() const { return queue_.waiting_bytes(); }
  // Lines lost since the start because the queue was full.
  std::uint64_t dropped() const { return dropped_; }
  // Lines logged since the start, including those that were dropped.
  std::uint64_t written() const { return written_; }

 private:
  // Rate limit of one event.
  struct EventRate {
    std::int64_t second = -1;      // the second that `lines` counts
    int lines = 0;                 // requested in that second
    std::uint64_t suppressed = 0;  // not reported yet
  };

  template <FieldType type>
  void Put(const char* name, const typename internal::ValueOf<type>::Type& value) {
    if constexpr (type == FieldType::kText) {
      PutText(name, value);
    } else if constexpr (type == FieldType::kMillis) {
      PutNumber(name, std::chrono::duration<double, std::milli>(value).count());
    } else if constexpr (type == FieldType::kNumber) {
      PutNumber(name, value);
    } else if constexpr (type == FieldType::kFlag) {
      PutRaw(name, value ? "true" : "false");
    } else {
      PutRaw(name, std::to_string(value));
    }
  }
  bool ShouldWrite(const char* event, Level level);
  void Begin();
  void PutText(const char* name, std::string_view value);
  void PutNumber(const char* name, double value);
  void PutRaw(const char* name, std::string_view value);
  void Emit(const char* event, Level level);
  void ReportLostLines(std::int64_t second);

  const std::string node_;
  LogOptions options_;
  LineQueue queue_;
  std::function<std::int64_t()> wall_clock_;
  std::unique_ptr<spdlog::logger> logger_;
  std::string fields_;                                 // of the line that is being written
  std::map<std::string_view, EventRate> event_rates_;  // by event name
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  std::uint64_t written_ = 0;
};

}  // namespace indigosaddle::base

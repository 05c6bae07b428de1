// Converts between the simulator's text protocol and plain types: Decoder reads batches of events, Encoder
// writes the actions of a reply. No delivery decision is made here.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "brain.h"

namespace indigosaddle::wire {

// Malformed input. The text names the line's number within its batch (the turn line is 1), the field and what
// was expected.
class WireError : public std::runtime_error {
 public:
  WireError(int line, std::string_view field, std::string_view expected);
};

// Event: start an instance with these settings. A running instance of that number is replaced.
struct Configure {
  Settings settings;
};

// Event: end an instance without a shutdown.
struct Kill {};

// How an announced list relates to the one before it.
enum class ListMode {
  kChanges,  // holds only the entries that changed
  kWhole,    // holds all entries
  kCached,   // holds all entries as the instance last had them; may be outdated
  kFailed,   // the list could not be obtained
};

// Event: an answer of discovery.
struct Announce {
  ListMode mode = ListMode::kFailed;
  std::shared_ptr<const std::vector<Endpoint>> entries;  // null for kFailed
};

// Event: a timer has expired.
struct Reminder {
  std::uint64_t token = 0;  // as given to Encoder::Sleep
};

// Event: the answer to a probe. The decision engine sends no probes.
struct ProbeResult {
  std::string endpoint;
  Result result = Result::kNotSent;
  Micros latency{0};  // from sending the probe to its answer
  LoadReport load;
};

// Event: the client no longer waits for this message.
struct Withdrawn {
  MessageId id = 0;
};

// An event and the number of the instance that it is for.
struct Event {
  std::int64_t node = 0;
  std::variant<Configure, Kill, Announce, Message, Outcome, ProbeResult, Reminder, Withdrawn> body;
};

// The events of one instant, in order. The simulator waits for one reply to each batch.
struct Batch {
  Micros now{0};  // the simulator's clock
  std::vector<Event> events;
};

// Reads batches from a stream. Keeps the numbered endpoint lists, which are shared by all instances of the
// process. The streams must outlive it.
class Decoder {
 public:
  // Writes one line to `notes` for each unknown event name, when it is first met.
  Decoder(std::istream& in, std::ostream& notes);

  // Returns the next batch, or nullopt at the end of input. Throws WireError on malformed input.
  std::optional<Batch> Next();

 private:
  // Reads the next line into line_. Returns false at the end of input.
  bool ReadLine();
  // Reads `count` row lines, the entries of a list. Throws WireError on any other line.
  std::shared_ptr<const std::vector<Endpoint>> ReadRows(std::uint64_t count);

  std::istream& in_;
  std::ostream& notes_;
  std::string line_;
  int line_number_ = 0;  // of line_ within its batch, from 1
  std::map<std::uint64_t, std::shared_ptr<const std::vector<Endpoint>>> lists_;  // by number
  std::set<std::string, std::less<>> noted_unknown_events_;
};

// Collects the actions of one reply as text. `node` is the number of the instance that acts.
class Encoder {
 public:
  // Calls an endpoint for a message; the attempt may take until `timeout` has passed.
  void Send(std::int64_t node, MessageId id, std::string_view endpoint, Micros timeout);
  // Returns a message to its client. `retry_after` is how long the client should wait; zero says nothing.
  void Refuse(std::int64_t node, MessageId id, Micros retry_after);
  // Ends a message as failed.
  void Fail(std::int64_t node, MessageId id);
  // Cancels a running attempt.
  void Cancel(std::int64_t node, MessageId id, int attempt);
  // Asks an endpoint for its state without a message.
  void Probe(std::int64_t node, std::string_view endpoint);
  // Closes the idle connections to an endpoint.
  void CloseIdle(std::int64_t node, std::string_view endpoint);
  // Sends data to another instance.
  void SendToPeer(std::int64_t node, std::int64_t peer, std::string_view base64);
  // Writes a line to the simulator's log.
  void Log(std::int64_t node, std::string_view text);
  // Reports that the instance has failed.
  void Crash(std::int64_t node, std::string_view text);
  // Sets a timer: a Reminder with this token follows at `at`.
  void Sleep(std::int64_t node, Micros at, std::uint64_t token);
  // Turns announcements of changes to the list on or off.
  void Watch(std::int64_t node, bool enable);
  // Asks discovery for the list.
  void Reload(std::int64_t node);
  // Returns the complete reply and empties the encoder.
  std::string Finish();

 private:
  std::string text_;
};

// Milliseconds with three decimals.
std::string FormatMillis(Micros time);

}  // namespace indigosaddle::wire

// Decodes a journal. Its encoder is src/state/journal.cpp.
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include "state/journal.h"
#include "state/journal_format.h"

namespace indigosaddle::state {
namespace {

// The highest serial that is allowed.
constexpr Serial kMaxSerial = ~Serial{0} >> 1;
// The values of a flag.
enum class Flagged : std::uint8_t { kNo, kYes };

// Decodes the fields of a record. A read past the end, or a value that no program writes, yields zero and
// makes ok() false from then on.
class Reader {
 public:
  explicit Reader(std::string_view bytes, std::uint64_t version = kVersion)
      : bytes_(bytes), version_(version) {}
  bool has_rules_and_zone_names() const { return version_ >= kFirstVersionWithRules; }
  std::uint64_t Unsigned(std::size_t bytes = 8) {
    if (bytes_.size() < bytes) {
      ok_ = false;
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes_[i])) << (8 * i);
    }
    bytes_.remove_prefix(bytes);
    return value;
  }
  // A message's serial: they begin at 1, and the one after the highest that is allowed must be valid too.
  Serial Number() {
    const Serial serial = Unsigned();
    if (serial == 0 || serial > kMaxSerial) ok_ = false;
    return serial;
  }
  int Count() {
    const std::uint64_t count = Unsigned(4);
    if (count > static_cast<std::uint64_t>(std::numeric_limits<std::int32_t>::max())) ok_ = false;
    return ok_ ? static_cast<int>(count) : 0;
  }
  bool Flag() { return Choice(Flagged::kYes) == Flagged::kYes; }
  Micros Time() { return Micros(static_cast<std::int64_t>(Unsigned())); }
  std::string Text() {
    const std::size_t size = Unsigned(4);
    if (!ok_ || bytes_.size() < size) {
      ok_ = false;
      return {};
    }
    std::string text(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return text;
  }
  template <typename T>
  T Choice(T last) {
    const std::uint64_t value = Unsigned(1);
    if (value > static_cast<std::uint64_t>(last)) ok_ = false;
    return ok_ ? static_cast<T>(value) : T{};
  }
  bool ok() const { return ok_; }
  bool at_end() const { return ok_ && bytes_.empty(); }

 private:
  std::string_view bytes_;
  std::uint64_t version_;
  bool ok_ = true;
};

void Get(Reader& in, AcceptedMessage& r) {
  r.serial = in.Number();
  for (std::string* text : {&r.id, &r.message_class, &r.tenant, &r.idempotency_key, &r.order_key, &r.body}) {
    *text = in.Text();
  }
  r.destination = in.Unsigned();
  r.deadline = in.Time();
  if (!in.has_rules_and_zone_names()) return;  // its rules were not recorded: the strictest apply
  r.rules.effect = in.Choice(Effect::kUnsafe);
  r.rules.group = in.Choice(Group::kCell);
  r.rules.key_ttl = in.Time();
  r.rules.sequential = in.Flag();
}

// A zone number of an older version belongs to settings that are not known here.
std::string GetZone(Reader& in) {
  if (in.has_rules_and_zone_names()) return in.Text();
  in.Unsigned(4);
  return {};
}
template <typename T>
void GetAttempt(Reader& in, T& r) {
  r.serial = in.Number();
  r.endpoint = in.Text();
  r.zone = GetZone(in);
  r.at = in.Time();
}
void Get(Reader& in, AttemptStarted& r) { GetAttempt(in, r); }
void Get(Reader& in, AttemptConnecting& r) { GetAttempt(in, r); }
void Get(Reader& in, AttemptFinished& r) {
  r.serial = in.Number();
  r.result = in.Choice(Result::kUnreadable);
}
void Get(Reader& in, MessageEnded& r) {
  r.serial = in.Number();
  r.end = in.Choice(MessageEnd::kReturned);
  r.retry_after = in.Time();
}
void Get(Reader& in, NoticeAccepted& r) { r.serial = in.Number(); }
void Get(Reader& in, AttemptHistory& r) {
  r.serial = in.Number();
  r.past.attempts = in.Count();
  r.past.may_have_run = in.Flag();
  r.past.first_run = in.Time();
  r.run_zone = GetZone(in);
}

template <std::size_t... I>
std::optional<Record> DecodeAs(std::uint64_t type, Reader& in, std::index_sequence<I...>) {
  std::optional<Record> record;
  const auto decode_if = [&]<typename T>(std::size_t index, T value) {
    if (type != index) return;
    Get(in, value);
    if (in.at_end()) record = std::move(value);
  };
  (decode_if(I, std::variant_alternative_t<I, Record>{}), ...);
  return record;
}

// The record that a body holds; empty where it is not exactly one record.
std::optional<Record> Decode(std::string_view body, std::uint64_t version) {
  Reader in(body, version);
  const std::uint64_t type = in.Unsigned(1);
  return DecodeAs(type, in, std::make_index_sequence<std::variant_size_v<Record>>());
}

// A record behind its length and checksum.
struct Body {
  std::string_view bytes;
  // Its checksum is right.
  bool checksum_ok = false;
};

// The body of the record that begins here; empty where its length exceeds the limit or the remaining bytes.
std::optional<Body> BodyOf(std::string_view rest) {
  Reader frame(rest.substr(0, kFrameBytes));
  const std::size_t length = frame.Unsigned(4);
  const std::uint64_t checksum = frame.Unsigned(4);
  if (!frame.ok() || length > kMaxRecordBytes || rest.size() - kFrameBytes < length) return std::nullopt;
  const std::string_view bytes = rest.substr(kFrameBytes, length);
  return Body{bytes, Checksum(bytes) == checksum};
}

// Whether a whole record begins anywhere behind the first byte. A torn write leaves none.
bool HasRecordAfter(std::string_view rest) {
  constexpr std::size_t kMinBodyBytes = 1 + sizeof(Serial);  // each body begins with its kind and a serial
  if (rest.size() >= kFrameBytes + kMaxRecordBytes) return true;  // longer than a torn record can be
  for (rest.remove_prefix(1); rest.size() >= kFrameBytes + kMinBodyBytes; rest.remove_prefix(1)) {
    const auto kind = static_cast<unsigned char>(rest[kFrameBytes]);
    if (kind >= std::variant_size_v<Record>) continue;
    const auto body = BodyOf(rest);
    if (body && body->checksum_ok && body->bytes.size() >= kMinBodyBytes) return true;
  }
  return false;
}

// The version in a journal's header; empty where the header is not valid or is cut off.
std::optional<std::uint64_t> VersionOf(std::string_view bytes) {
  if (!bytes.starts_with(kMagic) || bytes.size() < kHeaderBytes) return std::nullopt;
  return Reader(bytes.substr(kMagic.size(), kVersionBytes)).Unsigned(kVersionBytes);
}

bool IsKnown(std::uint64_t version) { return version >= 1 && version <= kVersion; }

}  // namespace

bool IsOtherVersion(std::string_view bytes) {
  const auto version = VersionOf(bytes);
  return version && !IsKnown(*version);
}

ParsedJournal ParseJournal(std::string_view bytes) {
  ParsedJournal result;
  if (bytes.empty()) return result;
  const auto version = VersionOf(bytes);
  if (!version || !IsKnown(*version)) {
    result.error = version ? "another version" : "not a journal";
    return result;
  }
  result.valid_bytes = kHeaderBytes;
  while (result.valid_bytes < bytes.size()) {
    const std::string_view rest = bytes.substr(result.valid_bytes);
    const auto body = BodyOf(rest);
    if (!body) {
      result.damaged = HasRecordAfter(rest);
      result.error = result.damaged ? "a record with a wrong length" : "a torn record at the end";
      return result;
    }
    auto record = body->checksum_ok ? Decode(body->bytes, *version) : std::nullopt;
    if (!record) {
      result.damaged = true;
      result.error = body->checksum_ok ? "a record of unknown form" : "a record with a wrong checksum";
      return result;
    }
    result.records.push_back(std::move(*record));
    result.valid_bytes += kFrameBytes + body->bytes.size();
  }
  return result;
}

std::set<Serial> MessagesInDoubt(const ParsedJournal& journal) {
  std::set<Serial> serials;
  if (!journal.damaged) return serials;
  for (const Record& record : journal.records)
    if (const auto* message = std::get_if<AcceptedMessage>(&record)) serials.insert(message->serial);
  return serials;
}

}  // namespace indigosaddle::state

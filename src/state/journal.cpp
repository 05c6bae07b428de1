#include "state/journal.h"

#include <zlib.h>

#include <optional>
#include <type_traits>
#include <utility>

namespace indigosaddle::state {
namespace {

constexpr std::string_view kMagic = "indigosaddle journal ";
// 1 has no Connecting records, 2 numbers in place of zones' names and no rules of messages; both are read as
// well.
constexpr std::uint64_t kVersion = 3;
constexpr std::uint64_t kFirstWithRules = 3;
constexpr std::size_t kFrameBytes = 8;  // length and checksum

class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}
  void Unsigned(std::uint64_t value, int bytes = 8) {
    for (int i = 0; i < bytes; ++i) out_.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
  void Time(Micros value) { Unsigned(static_cast<std::uint64_t>(value.count())); }
  void Text(std::string_view text) {
    Unsigned(text.size(), 4);
    out_.append(text);
  }

 private:
  std::string& out_;
};

// Reads past the end yield zero and clear ok().
class Reader {
 public:
  explicit Reader(std::string_view bytes, std::uint64_t version = kVersion)
      : bytes_(bytes), version_(version) {}
  bool has_rules() const { return version_ >= kFirstWithRules; }
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
  int Int() { return static_cast<int>(static_cast<std::int32_t>(Unsigned(4))); }
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
  bool done() const { return ok_ && bytes_.empty(); }

 private:
  std::string_view bytes_;
  std::uint64_t version_;
  bool ok_ = true;
};

void Put(Writer& w, const Taken& r) {
  w.Unsigned(r.serial);
  for (const std::string* text :
       {&r.id, &r.message_class, &r.tenant, &r.idempotency_key, &r.order_key, &r.body}) {
    w.Text(*text);
  }
  w.Unsigned(r.destination);
  w.Time(r.give_up_at);
  w.Unsigned(static_cast<std::uint64_t>(r.rules.effect), 1);
  w.Unsigned(static_cast<std::uint64_t>(r.rules.group), 1);
  w.Time(r.rules.key_ttl);
  w.Unsigned(r.rules.sequential ? 1 : 0, 1);
}
template <typename T>
void PutAttempt(Writer& w, const T& r) {
  w.Unsigned(r.serial);
  w.Text(r.endpoint);
  w.Text(r.zone);
  w.Time(r.at);
}
void Put(Writer& w, const Attempted& r) { PutAttempt(w, r); }
void Put(Writer& w, const Connecting& r) { PutAttempt(w, r); }
void Put(Writer& w, const Settled& r) {
  w.Unsigned(r.serial);
  w.Unsigned(static_cast<std::uint64_t>(r.result), 1);
}
void Put(Writer& w, const Ended& r) {
  w.Unsigned(r.serial);
  w.Unsigned(static_cast<std::uint64_t>(r.end), 1);
  w.Time(r.not_before);
}
void Put(Writer& w, const Noticed& r) { w.Unsigned(r.serial); }
void Put(Writer& w, const Resumed& r) {
  w.Unsigned(r.serial);
  w.Unsigned(static_cast<std::uint32_t>(r.past.attempts), 4);
  w.Unsigned(r.past.may_have_run ? 1 : 0, 1);
  w.Time(r.past.first_run);
  w.Text(r.run_zone);
}

void Get(Reader& in, Taken& r) {
  r.serial = in.Unsigned();
  for (std::string* text : {&r.id, &r.message_class, &r.tenant, &r.idempotency_key, &r.order_key, &r.body}) {
    *text = in.Text();
  }
  r.destination = in.Unsigned();
  r.give_up_at = in.Time();
  if (!in.has_rules()) return;  // born under rules that nobody noted: the strictest
  r.rules.effect = in.Choice(Effect::kUnsafe);
  r.rules.group = in.Choice(Group::kCell);
  r.rules.key_ttl = in.Time();
  r.rules.sequential = in.Unsigned(1) != 0;
}

// A number of an older version is of settings that are not known here.
std::string GetZone(Reader& in) {
  if (in.has_rules()) return in.Text();
  in.Unsigned(4);
  return {};
}
template <typename T>
void GetAttempt(Reader& in, T& r) {
  r.serial = in.Unsigned();
  r.endpoint = in.Text();
  r.zone = GetZone(in);
  r.at = in.Time();
}
void Get(Reader& in, Attempted& r) { GetAttempt(in, r); }
void Get(Reader& in, Connecting& r) { GetAttempt(in, r); }
void Get(Reader& in, Settled& r) {
  r.serial = in.Unsigned();
  r.result = in.Choice(Result::kGarbled);
}
void Get(Reader& in, Ended& r) {
  r.serial = in.Unsigned();
  r.end = in.Choice(End::kReturned);
  r.not_before = in.Time();
}
void Get(Reader& in, Noticed& r) { r.serial = in.Unsigned(); }
void Get(Reader& in, Resumed& r) {
  r.serial = in.Unsigned();
  r.past.attempts = in.Int();
  r.past.may_have_run = in.Unsigned(1) != 0;
  r.past.first_run = in.Time();
  r.run_zone = GetZone(in);
}

template <std::size_t... I>
std::optional<Record> Decode(std::uint64_t type, Reader& in, std::index_sequence<I...>) {
  std::optional<Record> record;
  const auto take = [&]<typename T>(std::size_t index, T value) {
    if (type != index) return;
    Get(in, value);
    if (in.done()) record = std::move(value);
  };
  (take(I, std::variant_alternative_t<I, Record>{}), ...);
  return record;
}

std::uint64_t Checksum(std::string_view bytes) {
  return crc32(crc32(0, nullptr, 0), reinterpret_cast<const Bytef*>(bytes.data()),
               static_cast<uInt>(bytes.size()));
}

std::string HeadOf(std::uint64_t version) {
  std::string head(kMagic);
  Writer(head).Unsigned(version, 4);
  return head;
}

}  // namespace

std::string JournalHead() { return HeadOf(kVersion); }

void AppendRecord(std::string& journal, const Record& record) {
  std::string body;
  Writer writer(body);
  writer.Unsigned(record.index(), 1);
  std::visit([&](const auto& r) { Put(writer, r); }, record);
  Writer frame(journal);
  frame.Unsigned(body.size(), 4);
  frame.Unsigned(Checksum(body), 4);
  journal += body;
}

std::size_t RecordBytes(const Record& record) {
  std::string bytes;
  AppendRecord(bytes, record);
  return bytes.size();
}

ReadJournal ParseJournal(std::string_view bytes) {
  ReadJournal result;
  if (bytes.empty()) return result;
  std::uint64_t version = kVersion;
  while (version > 0 && !bytes.starts_with(HeadOf(version))) --version;
  if (version == 0) {
    result.trouble = bytes.starts_with(kMagic) ? "another version" : "not a journal";
    return result;
  }
  result.read = JournalHead().size();
  while (result.read < bytes.size()) {
    std::string_view rest = bytes.substr(result.read);
    Reader frame(rest.substr(0, kFrameBytes));
    const std::size_t length = frame.Unsigned(4);
    const std::uint64_t checksum = frame.Unsigned(4);
    if (!frame.ok() || length > kMostRecordBytes || rest.size() - kFrameBytes < length) {
      result.trouble = "a torn record at the end";
      return result;
    }
    const std::string_view body = rest.substr(kFrameBytes, length);
    if (Checksum(body) != checksum) {
      result.trouble = "a record with a wrong checksum";
      return result;
    }
    Reader in(body, version);
    const std::uint64_t type = in.Unsigned(1);
    auto record = Decode(type, in, std::make_index_sequence<std::variant_size_v<Record>>());
    if (!record) {
      result.trouble = "a record of unknown form";
      return result;
    }
    result.records.push_back(std::move(*record));
    result.read += kFrameBytes + length;
  }
  return result;
}

}  // namespace indigosaddle::state

#include "state/journal.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "state/journal_format.h"

namespace indigosaddle::state {
namespace {

// Appends the fields of a record to a string: integers with the least significant byte first, texts with
// their length before them.
class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}
  void Unsigned(std::uint64_t value, std::size_t bytes = 8) { out_ += LittleEndian(value, bytes); }
  void Time(Micros value) { Unsigned(static_cast<std::uint64_t>(value.count())); }
  void Text(std::string_view text) {
    Unsigned(text.size(), 4);
    out_.append(text);
  }

 private:
  std::string& out_;
};

void Put(Writer& w, const AcceptedMessage& r) {
  w.Unsigned(r.serial);
  for (const std::string* text :
       {&r.id, &r.message_class, &r.tenant, &r.idempotency_key, &r.order_key, &r.body}) {
    w.Text(*text);
  }
  w.Unsigned(r.destination);
  w.Time(r.deadline);
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
void Put(Writer& w, const AttemptStarted& r) { PutAttempt(w, r); }
void Put(Writer& w, const AttemptConnecting& r) { PutAttempt(w, r); }
void Put(Writer& w, const AttemptFinished& r) {
  w.Unsigned(r.serial);
  w.Unsigned(static_cast<std::uint64_t>(r.result), 1);
}
void Put(Writer& w, const MessageEnded& r) {
  w.Unsigned(r.serial);
  w.Unsigned(static_cast<std::uint64_t>(r.end), 1);
  w.Time(r.retry_after);
}
void Put(Writer& w, const NoticeAccepted& r) { w.Unsigned(r.serial); }
void Put(Writer& w, const AttemptHistory& r) {
  w.Unsigned(r.serial);
  w.Unsigned(static_cast<std::uint32_t>(r.past.attempts), 4);
  w.Unsigned(r.past.may_have_run ? 1 : 0, 1);
  w.Time(r.past.first_run);
  w.Text(r.run_zone);
}

}  // namespace

std::string JournalHeader() { return HeaderOf(kVersion); }

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

std::size_t RecordSize(const Record& record) {
  std::string bytes;
  AppendRecord(bytes, record);
  return bytes.size();
}

Serial SuccessorSerialFloor(Serial highest_serial, Micros started_at) {
  // More than a process assigns while its successor runs.
  constexpr Serial kGap = Serial{1} << 32;
  // A process assigns less than one serial per microsecond, so those of successors that started at different
  // times do not meet.
  const auto by_time = static_cast<Serial>(std::max(Micros(0), started_at).count());
  return std::max(highest_serial + kGap, by_time);
}

}  // namespace indigosaddle::state

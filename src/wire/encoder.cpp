// Writes the decision engine's actions as text of the simulator's protocol.
#include <string>
#include <string_view>

#include "wire/codec.h"

namespace indigosaddle::wire {
namespace {

constexpr std::uint64_t kMicrosPerMilli = 1000;

// Appends a field with its name.
void Append(std::string& text, std::string_view name, std::uint64_t value) {
  text.append(" ").append(name).append("=").append(std::to_string(value));
}

// Begins the line of an action.
void BeginAction(std::string& text, std::string_view action, std::int64_t node) {
  text.append(action).append(" nodeId=").append(std::to_string(node));
}

}  // namespace

std::string FormatMillis(Micros time) {
  const std::int64_t micros = time.count();
  const std::uint64_t magnitude =
      micros < 0 ? 0 - static_cast<std::uint64_t>(micros) : static_cast<std::uint64_t>(micros);
  std::string text = micros < 0 ? "-" : "";
  text.append(std::to_string(magnitude / kMicrosPerMilli)).append(".");
  return text.append(std::to_string(kMicrosPerMilli + magnitude % kMicrosPerMilli).substr(1));
}

void Encoder::Send(std::int64_t node, MessageId id, std::string_view endpoint, Micros timeout) {
  BeginAction(text_, "pass_on", node);
  Append(text_, "opId", id);
  text_.append(" endpoint=").append(endpoint).append(" cap=").append(FormatMillis(timeout)).append("\n");
}

void Encoder::Refuse(std::int64_t node, MessageId id, Micros retry_after) {
  BeginAction(text_, "not_now", node);
  Append(text_, "opId", id);
  if (retry_after > Micros(0)) text_.append(" notBeforeFor=").append(FormatMillis(retry_after));
  text_.append("\n");
}

void Encoder::Fail(std::int64_t node, MessageId id) {
  BeginAction(text_, "finish_error", node);
  Append(text_, "opId", id);
  text_.append("\n");
}

void Encoder::Probe(std::int64_t node, std::string_view endpoint) {
  BeginAction(text_, "poll", node);
  text_.append(" endpoint=").append(endpoint).append("\n");
}

void Encoder::Sleep(std::int64_t node, Micros at, std::uint64_t token) {
  BeginAction(text_, "sleep", node);
  text_.append(" at=").append(FormatMillis(at));
  Append(text_, "cookie", token);
  text_.append("\n");
}

void Encoder::Watch(std::int64_t node, bool enable) {
  BeginAction(text_, "stream_changes", node);
  text_.append(enable ? " enable=1\n" : " enable=0\n");
}

void Encoder::Reload(std::int64_t node) {
  BeginAction(text_, "reload", node);
  text_.append("\n");
}

void Encoder::Cancel(std::int64_t node, MessageId id, int attempt) {
  BeginAction(text_, "recall", node);
  Append(text_, "opId", id);
  text_.append(" go=").append(std::to_string(attempt)).append("\n");
}

void Encoder::CloseIdle(std::int64_t node, std::string_view endpoint) {
  BeginAction(text_, "drop_conns", node);
  text_.append(" endpoint=").append(endpoint).append("\n");
}

void Encoder::SendToPeer(std::int64_t node, std::int64_t peer, std::string_view base64) {
  BeginAction(text_, "memo_to", node);
  text_.append(" dst=").append(std::to_string(peer)).append(" data=").append(base64).append("\n");
}

void Encoder::Log(std::int64_t node, std::string_view text) {
  BeginAction(text_, "say_log", node);
  text_.append(" reasonText=").append(text).append("\n");
}

void Encoder::Crash(std::int64_t node, std::string_view text) {
  BeginAction(text_, "crash", node);
  text_.append(" reasonText=").append(text).append("\n");
}

std::string Encoder::Finish() {
  std::string reply = std::move(text_);
  text_.clear();
  reply.append("ack\n");
  return reply;
}

}  // namespace indigosaddle::wire

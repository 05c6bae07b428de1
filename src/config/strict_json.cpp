#include "config/strict_json.h"

#include <fmt/format.h>

#include <set>
#include <utility>

#include "config/fault_list.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

// Follows the parser's events, for what its result no longer shows.
class Watcher {
 public:
  explicit Watcher(const std::string& file) : faults_(file) {}

  bool On(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kDeepest) {
      if (!too_deep_) Say("", fmt::format("nested over {} deep", kDeepest));
      too_deep_ = true;
      return false;
    }
    if (event == json::parse_event_t::object_start) names_.emplace_back();
    if (event == json::parse_event_t::object_end && !names_.empty()) names_.pop_back();
    if (event == json::parse_event_t::key && !names_.empty()) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!names_.back().insert(name).second) Say(name, "stands twice in one object");
    }
    return true;
  }
  std::vector<Fault> TakeFaults() { return faults_.Take(); }

 private:
  void Say(const std::string& path, std::string what) { faults_.Add(path, std::move(what)); }

  std::vector<std::set<std::string>> names_;  // of the objects that are open
  FaultList faults_;
  bool too_deep_ = false;
};

}  // namespace

ParsedObject ParseObject(std::string_view text, const std::string& file) {
  ParsedObject parsed;
  // The parser would take it for the end.
  if (const std::size_t zero = text.find('\0'); zero != std::string_view::npos) {
    parsed.faults.push_back(
        {file, {}, "", fmt::format("expected one JSON object; byte {} is zero", zero + 1)});
    return parsed;
  }
  Watcher watcher(file);
  json whole;
  try {
    whole = json::parse(text, [&](int depth, json::parse_event_t event, json& value) {
      return watcher.On(depth, event, value);
    });
    parsed.faults = watcher.TakeFaults();
    if (!whole.is_object()) parsed.faults.push_back({file, {}, "", "expected one JSON object"});
  } catch (const json::parse_error& error) {
    parsed.faults.push_back(
        {file, {}, "", fmt::format("expected one JSON object; it is none from byte {} on", error.byte)});
  } catch (const json::exception&) {  // a number that no double holds
    parsed.faults.push_back({file, {}, "", "expected one JSON object; a number in it is out of range"});
  }
  if (parsed.faults.empty()) parsed.value = std::move(whole);
  return parsed;
}

}  // namespace indigosaddle::config

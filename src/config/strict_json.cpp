#include "config/strict_json.h"

#include <fmt/format.h>

#include <set>
#include <utility>

#include "config/fault_list.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

// Follows the parser's events and finds the faults that the parsed value no longer shows: repeated names and
// too deep nesting.
class StructureChecker {
 public:
  explicit StructureChecker(const std::string& file) : faults_(file) {}

  bool On(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kMaxDepth) {
      if (!too_deep_) AddFault("", fmt::format("nested over {} deep", kMaxDepth));
      too_deep_ = true;
      return false;
    }
    if (event == json::parse_event_t::object_start) names_.emplace_back();
    if (event == json::parse_event_t::object_end && !names_.empty()) names_.pop_back();
    if (event == json::parse_event_t::key && !names_.empty()) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!names_.back().insert(name).second) AddFault(name, "stands twice in one object");
    }
    return true;
  }
  std::vector<ConfigFault> TakeFaults() { return faults_.Take(); }

 private:
  void AddFault(const std::string& path, std::string problem) { faults_.Add(path, std::move(problem)); }

  std::vector<std::set<std::string>> names_;  // of each object that is open, the innermost last
  ConfigFaultList faults_;
  bool too_deep_ = false;
};

}  // namespace

ParsedObject ParseObject(std::string_view text, const std::string& file) {
  ParsedObject parsed;
  // The parser takes a zero byte for the end of the text and would ignore what follows it.
  if (const std::size_t zero = text.find('\0'); zero != std::string_view::npos) {
    parsed.faults.push_back(
        {file, {}, "", fmt::format("expected one JSON object; byte {} is zero", zero + 1)});
    return parsed;
  }
  StructureChecker checker(file);
  json whole;
  try {
    whole = json::parse(text, [&](int depth, json::parse_event_t event, json& value) {
      return checker.On(depth, event, value);
    });
    parsed.faults = checker.TakeFaults();
    if (!whole.is_object()) parsed.faults.push_back({file, {}, "", "expected one JSON object"});
  } catch (const json::parse_error& error) {
    parsed.faults.push_back(
        {file,
         {},
         "",
         fmt::format("expected one JSON object; the JSON is malformed at byte {}", error.byte)});
  } catch (const json::exception&) {  // a number that is too large for a double
    parsed.faults.push_back({file, {}, "", "expected one JSON object; a number in it is out of range"});
  }
  if (parsed.faults.empty()) parsed.value = std::move(whole);
  return parsed;
}

}  // namespace indigosaddle::config

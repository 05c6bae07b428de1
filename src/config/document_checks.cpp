// Checks across several values of a configuration: values that contradict one another although each is valid
// by itself.
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "config/document.h"
#include "config/schema.h"

namespace indigosaddle::config {

using nlohmann::json;

std::string Excerpt(const std::string& text) {
  constexpr std::size_t kMaxBytes = 80;
  // A byte with these top bits continues a UTF-8 character that an earlier byte begins.
  constexpr unsigned kTopBitsMask = 0xC0, kContinuation = 0x80;
  std::size_t end = std::min(kMaxBytes, text.size());
  while (end > 0 && end < text.size() &&
         (static_cast<unsigned char>(text[end]) & kTopBitsMask) == kContinuation) {
    --end;
  }
  return text.substr(0, end);
}

std::vector<std::size_t> FindRepeatedNames(const json& values, std::string_view name_path) {
  std::vector<std::size_t> indices;
  const json* list = ValueAt(values, name_path.substr(0, name_path.find("[]")), 0);
  std::set<json> seen;
  for (std::size_t i = 0; list != nullptr && list->is_array() && i < list->size(); ++i) {
    const json* name = ValueAt(values, name_path, i);
    if (name != nullptr && !seen.insert(*name).second) indices.push_back(i);
  }
  return indices;
}

std::vector<ConfigFault> FindContradictions(const json& values, const std::string& file,
                                            const std::map<std::string, SourceLocation>& locations) {
  std::vector<ConfigFault> faults;
  const auto add_fault = [&](const std::string& path, std::string problem) {
    const auto it = locations.find(path);
    faults.push_back({file, it == locations.end() ? SourceLocation{} : it->second, path, std::move(problem)});
  };
  const auto number_at = [&](const char* platform_path, std::size_t index, double if_absent) {
    const json* value = ValueAt(values, platform_path, index);
    return value != nullptr && value->is_number() ? value->get<double>() : if_absent;
  };
  const auto check_names = [&](const char* name_path, const char* section) {
    for (const std::size_t i : FindRepeatedNames(values, name_path)) {
      add_fault(fmt::format("{}[{}].name", section, i),
                fmt::format("{} is named twice", ValueAt(values, name_path, i)->dump()));
    }
  };
  check_names("settings.classes[].name", "classes");
  check_names("settings.orgs[].name", "tenants");
  check_names("settings.machineTypes[]", "kinds");
  check_names("settings.zones[]", "zones");
  const json* classes = ValueAt(values, "settings.classes", 0);
  for (std::size_t i = 0; classes != nullptr && classes->is_array() && i < classes->size(); ++i) {
    const auto path_of = [&](const char* name) { return fmt::format("classes[{}].{}", i, name); };
    const double aim = number_at("settings.classes[].aim", i, 0),
                 deadline = number_at("settings.classes[].deadline", i, 0);
    if (deadline > 0 && aim > deadline) add_fault(path_of("aim"), "is after the deadline of the same class");
    const json* effect = ValueAt(values, "settings.classes[].effect", i);
    const double ttl = number_at("settings.classes[].keyTtl", i, 0);
    if (effect != nullptr && *effect == "idempotency_key" && ttl <= 0) {
      add_fault(path_of("effect"), "is \"keyed\" with no key_ttl: no repeat could ever be sent");
    }
    if (effect != nullptr && *effect != "idempotency_key" && ttl > 0) {
      add_fault(path_of("key_ttl"), "is given where effect is not \"keyed\"");
    }
  }
  const json* retry_advice = ValueAt(values, "settings.caps.retryAfter", 0);
  if (retry_advice != nullptr && *retry_advice == false &&
      number_at("settings.caps.maxRetryAfter", 0, 0) > 0) {
    add_fault("delivery.max_retry_after", "is given where retry_advice is false: no client would hear it");
  }
  const double call_slots = number_at("settings.familyInfo.callSlots", 0, 0),
               max_open = number_at("settings.caps.maxOpen", 0, 0);
  if (call_slots > 0 && max_open > 0 && max_open < call_slots) {
    add_fault(
        "delivery.holding_room",
        fmt::format("{:.0f} is less than the call_slots, {:.0f}, that it has to fill", max_open, call_slots));
  }
  if (number_at("settings.guarantees.fall", 0, 0) > number_at("settings.guarantees.cold", 0, 0) &&
      number_at("settings.guarantees.cold", 0, 0) > 0) {
    add_fault("return.fall", "is longer than the time to warm up, return.cold");
  }
  const json* socket = ValueAt(values, "operator.control.socket", 0);
  if (socket != nullptr && socket->is_string() &&
      socket->get_ref<const std::string&>().find_first_of('/') != std::string::npos) {
    add_fault("control.socket", "is a path; expected the name of a file within the state folder");
  }
  return faults;
}

}  // namespace indigosaddle::config

// What a document says that can't hold together, though each value is good by itself.
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "config/document.h"
#include "config/schema.h"

namespace indigosaddle::config {

using nlohmann::json;

std::string Excerpt(const std::string& text) {
  constexpr std::size_t kMost = 80;                       // bytes
  constexpr unsigned kTopBits = 0xC0, kFollowing = 0x80;  // of a byte of UTF-8 that begins no character
  std::size_t end = std::min(kMost, text.size());
  while (end > 0 && end < text.size() && (static_cast<unsigned char>(text[end]) & kTopBits) == kFollowing)
    --end;
  return text.substr(0, end);
}

std::vector<std::size_t> Repeated(const json& told, std::string_view names) {
  std::vector<std::size_t> places;
  const json* list = At(told, names.substr(0, names.find("[]")), 0);
  std::set<json> seen;
  for (std::size_t i = 0; list != nullptr && list->is_array() && i < list->size(); ++i) {
    const json* name = At(told, names, i);
    if (name != nullptr && !seen.insert(*name).second) places.push_back(i);
  }
  return places;
}

std::vector<Fault> Contradictions(const json& told, const std::string& file,
                                  const std::map<std::string, Place>& places) {
  std::vector<Fault> faults;
  const auto say = [&](const std::string& path, std::string what) {
    const auto it = places.find(path);
    faults.push_back({file, it == places.end() ? Place{} : it->second, path, std::move(what)});
  };
  const auto number = [&](const char* at, std::size_t index, double absent) {
    const json* value = At(told, at, index);
    return value != nullptr && value->is_number() ? value->get<double>() : absent;
  };
  const auto names = [&](const char* all, const char* path) {
    for (const std::size_t i : Repeated(told, all))
      say(fmt::format("{}[{}].name", path, i), fmt::format("{} is named twice", At(told, all, i)->dump()));
  };
  names("settings.classes[].name", "classes");
  names("settings.orgs[].name", "tenants");
  names("settings.machineTypes[]", "kinds");
  names("settings.zones[]", "zones");
  const json* classes = At(told, "settings.classes", 0);
  for (std::size_t i = 0; classes != nullptr && classes->is_array() && i < classes->size(); ++i) {
    const auto at = [&](const char* name) { return fmt::format("classes[{}].{}", i, name); };
    const double aim = number("settings.classes[].aim", i, 0),
                 deadline = number("settings.classes[].deadline", i, 0);
    if (deadline > 0 && aim > deadline) say(at("aim"), "is after the deadline of the same class");
    const json* effect = At(told, "settings.classes[].effect", i);
    const double ttl = number("settings.classes[].keyTtl", i, 0);
    if (effect != nullptr && *effect == "idempotency_key" && ttl <= 0) {
      say(at("effect"), "is \"keyed\" with no key_ttl: no repeat could ever be sent");
    }
    if (effect != nullptr && *effect != "idempotency_key" && ttl > 0) {
      say(at("key_ttl"), "is given where effect is not \"keyed\"");
    }
  }
  const json* advice = At(told, "settings.caps.retryAfter", 0);
  if (advice != nullptr && *advice == false && number("settings.caps.maxRetryAfter", 0, 0) > 0) {
    say("delivery.max_retry_after", "is given where retry_advice is false: no client would hear it");
  }
  const double slots = number("settings.familyInfo.callSlots", 0, 0),
               room = number("settings.caps.maxOpen", 0, 0);
  if (slots > 0 && room > 0 && room < slots) {
    say("delivery.holding_room",
        fmt::format("{:.0f} is less than the call_slots, {:.0f}, that it has to fill", room, slots));
  }
  if (number("settings.guarantees.fall", 0, 0) > number("settings.guarantees.cold", 0, 0) &&
      number("settings.guarantees.cold", 0, 0) > 0) {
    say("return.fall", "is longer than the time to warm up, return.cold");
  }
  const json* socket = At(told, "operator.control.socket", 0);
  if (socket != nullptr && socket->is_string() &&
      socket->get_ref<const std::string&>().find_first_of('/') != std::string::npos) {
    say("control.socket", "is a path; expected the name of a file within the state folder");
  }
  return faults;
}

}  // namespace indigosaddle::config

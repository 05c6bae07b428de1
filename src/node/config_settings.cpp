// Reads the settings of the decision engine from the merged configuration. Required values are read by
// functions that have no default. For the few values that may be absent, a comment says what their absence
// means.
#include <fmt/format.h>

#include <cmath>
#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "node/config_read.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

constexpr double kMicrosPerMilli = 1000;

// Reads single values by their path; `index` is the table of a list. Throws ConfigError if a value is absent
// or of another type.
class SettingsReader {
 public:
  explicit SettingsReader(const json& whole) : whole_(whole) {}

  std::size_t Count(const char* list) const {
    const json* value = config::ValueAt(whole_, list, 0);
    return value != nullptr && value->is_array() ? value->size() : 0;
  }
  double Number(const char* path, std::size_t index = 0) const { return At<double>(path, index); }
  int Integer(const char* path, std::size_t index = 0) const {
    return static_cast<int>(At<double>(path, index));
  }
  bool Flag(const char* path, std::size_t index = 0) const { return At<bool>(path, index); }
  // A duration, which the configuration gives in milliseconds.
  Micros Duration(const char* path, std::size_t index = 0) const {
    return Micros(std::llround(At<double>(path, index) * kMicrosPerMilli));
  }
  bool Has(const char* path, std::size_t index = 0) const {
    return config::ValueAt(whole_, path, index) != nullptr;
  }
  // The value of one of these words.
  template <typename Value>
  Value Word(const char* path, const std::map<std::string, Value>& words, std::size_t index = 0) const {
    const auto it = words.find(At<std::string>(path, index));
    if (it == words.end()) throw ConfigError(fmt::format("{}: an unknown word", path));
    return it->second;
  }

 private:
  // The schema has been checked before this: an exception from here means that the schema has a gap.
  template <typename Value>
  Value At(const char* path, std::size_t index) const {
    const json* value = config::ValueAt(whole_, path, index);
    if (value == nullptr) throw ConfigError(fmt::format("{}: is missing", path));
    try {
      return value->get<Value>();
    } catch (const json::exception&) {
      throw ConfigError(fmt::format("{}: is of another type", path));
    }
  }

  const json& whole_;
};

ClassSettings ReadClass(const SettingsReader& read, std::size_t index) {
  ClassSettings settings;
  settings.worth = read.Number("settings.classes[].worth", index);
  settings.late_value = read.Number("settings.classes[].lateValue", index);
  settings.aim = read.Duration("settings.classes[].aim", index);
  settings.deadline = read.Duration("settings.classes[].deadline", index);
  settings.effect = read.Word<Effect>("settings.classes[].effect",
                                      {{"read_like", Effect::kSafe},
                                       {"idempotency_key", Effect::kKeyed},
                                       {"non_idempotent", Effect::kUnsafe}},
                                      index);
  if (settings.effect == Effect::kKeyed) {
    settings.group =
        read.Word<Group>("settings.classes[].group",
                         {{"all", Group::kAll}, {"zone", Group::kZone}, {"cell", Group::kCell}}, index);
    settings.key_ttl = read.Duration("settings.classes[].keyTtl", index);
  }
  // Absent means false: the platform gives this value only where it is true.
  settings.sequential =
      read.Has("settings.classes[].sequential", index) && read.Flag("settings.classes[].sequential", index);
  return settings;
}

void ReadLists(const SettingsReader& read, Settings& settings) {
  for (std::size_t i = 0; i < read.Count("settings.classes"); ++i)
    settings.classes.push_back(ReadClass(read, i));
  for (std::size_t i = 0; i < read.Count("settings.orgs"); ++i)
    settings.tenants.push_back({read.Number("settings.orgs[].quotaRps", i)});
  for (std::size_t i = 0; i < read.Count("settings.machineTypes"); ++i) {
    KindSettings kind;
    kind.separate_routes = read.Flag("settings.familyInfo.separateRoutes[]", i);
    // An HTTP call carries one message, also where the kind would take more.
    kind.per_call = 1;
    settings.kinds.push_back(kind);
  }
  for (std::size_t i = 0; i < read.Count("settings.zones"); ++i)
    settings.zone_fee.push_back(read.Number("settings.familyInfo.zoneFee[]", i));
}

void ReadGuarantees(const SettingsReader& read, Settings& settings) {
  settings.cold_from = read.Number("settings.guarantees.coldFrom");
  settings.overload_factor = read.Number("settings.guarantees.overloadFactor");
  settings.cold = read.Duration("settings.guarantees.cold");
  settings.fall = read.Duration("settings.guarantees.fall");
  settings.must_ask_in = read.Duration("settings.guarantees.mustAskIn");
  // Absent if no class is delivered in order.
  if (read.Has("settings.guarantees.turnGap"))
    settings.turn_gap = read.Duration("settings.guarantees.turnGap");
}

}  // namespace

Settings ReadSettings(const json& whole) {
  const SettingsReader read(whole);
  Settings settings;
  settings.senders = read.Integer("settings.balancers");
  // Absent if the operator's file has no zones: the node is in none.
  if (read.Has("settings.zone")) settings.own_zone = read.Integer("settings.zone");
  settings.call_slots = read.Integer("settings.familyInfo.callSlots");
  settings.max_open = read.Integer("settings.caps.maxOpen");
  settings.max_attempts = read.Integer("settings.caps.attemptsCap");
  settings.discovery = read.Word<Discovery>(
      "settings.discovery", {{"pushed", Discovery::kPushed}, {"on_request", Discovery::kOnRequest}});
  settings.weights = read.Word<Weights>(
      "settings.weightKind",
      {{"off", Weights::kNone}, {"nominal", Weights::kNominal}, {"rough", Weights::kRough}});
  settings.retry_advice = read.Flag("settings.caps.retryAfter");
  settings.decay =
      read.Word<Decay>("settings.familyInfo.decay", {{"even", Decay::kEven}, {"by_half", Decay::kByHalf}});
  settings.over_share_worth = read.Number("settings.overShareWorth");
  settings.price_cross_zone = read.Number("settings.prices.crossZone");
  settings.price_handshake = read.Number("settings.prices.handshake");
  settings.tick = read.Duration("settings.tick");
  settings.idle_close = read.Duration("settings.caps.idleClose");
  settings.max_retry_after = read.Duration("settings.caps.maxRetryAfter");
  ReadGuarantees(read, settings);
  ReadLists(read, settings);
  return settings;
}

Micros ReadConnectTimeout(const json& whole) {
  return SettingsReader(whole).Duration("settings.caps.dialTimeout");
}

}  // namespace indigosaddle::node

// The module's settings from the merged configuration. What must be there is read by functions that know no
// default; the few values that may be absent say here what their absence means.
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
  Micros Time(const char* path, std::size_t index = 0) const {
    return Micros(std::llround(At<double>(path, index) * kMicrosPerMilli));
  }
  bool Has(const char* path, std::size_t index = 0) const {
    return config::ValueAt(whole_, path, index) != nullptr;
  }
  template <typename Value>
  Value Word(const char* path, const std::map<std::string, Value>& words, std::size_t index = 0) const {
    const auto it = words.find(At<std::string>(path, index));
    if (it == words.end()) throw ConfigError(fmt::format("{}: an unknown word", path));
    return it->second;
  }

 private:
  // The schema has found its faults already: what is thrown here is a hole in the schema.
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
  ClassSettings c;
  c.worth = read.Number("settings.classes[].worth", index);
  c.late_value = read.Number("settings.classes[].lateValue", index);
  c.aim = read.Time("settings.classes[].aim", index);
  c.deadline = read.Time("settings.classes[].deadline", index);
  c.effect = read.Word<Effect>("settings.classes[].effect",
                               {{"read_like", Effect::kSafe},
                                {"idempotency_key", Effect::kKeyed},
                                {"non_idempotent", Effect::kUnsafe}},
                               index);
  if (c.effect == Effect::kKeyed) {
    c.group = read.Word<Group>("settings.classes[].group",
                               {{"all", Group::kAll}, {"zone", Group::kZone}, {"cell", Group::kCell}}, index);
    c.key_ttl = read.Time("settings.classes[].keyTtl", index);
  }
  // The platform gives it where it is true.
  c.sequential =
      read.Has("settings.classes[].sequential", index) && read.Flag("settings.classes[].sequential", index);
  return c;
}

void ReadLists(const SettingsReader& read, Settings& s) {
  for (std::size_t i = 0; i < read.Count("settings.classes"); ++i) s.classes.push_back(ReadClass(read, i));
  for (std::size_t i = 0; i < read.Count("settings.orgs"); ++i)
    s.tenants.push_back({read.Number("settings.orgs[].quotaRps", i)});
  for (std::size_t i = 0; i < read.Count("settings.machineTypes"); ++i) {
    KindSettings kind;
    kind.separate_routes = read.Flag("settings.familyInfo.separateRoutes[]", i);
    kind.per_call = 1;  // a call on the sockets carries one message, whatever a kind would take
    s.kinds.push_back(kind);
  }
  for (std::size_t i = 0; i < read.Count("settings.zones"); ++i)
    s.zone_fee.push_back(read.Number("settings.familyInfo.zoneFee[]", i));
}

void ReadGuarantees(const SettingsReader& read, Settings& s) {
  s.cold_from = read.Number("settings.guarantees.coldFrom");
  s.overload_factor = read.Number("settings.guarantees.overloadFactor");
  s.cold = read.Time("settings.guarantees.cold");
  s.fall = read.Time("settings.guarantees.fall");
  s.must_ask_in = read.Time("settings.guarantees.mustAskIn");
  // Where no class keeps an order, none is told.
  if (read.Has("settings.guarantees.turnGap")) s.turn_gap = read.Time("settings.guarantees.turnGap");
}

}  // namespace

Settings ReadSettings(const json& whole) {
  const SettingsReader read(whole);
  Settings s;
  s.senders = read.Integer("settings.balancers");
  // An operator's file without zones has none to stand in.
  if (read.Has("settings.zone")) s.own_zone = read.Integer("settings.zone");
  s.call_slots = read.Integer("settings.familyInfo.callSlots");
  s.max_open = read.Integer("settings.caps.maxOpen");
  s.max_attempts = read.Integer("settings.caps.attemptsCap");
  s.discovery = read.Word<Discovery>("settings.discovery",
                                     {{"pushed", Discovery::kPushed}, {"on_request", Discovery::kOnRequest}});
  s.weights = read.Word<Weights>(
      "settings.weightKind",
      {{"off", Weights::kNone}, {"nominal", Weights::kNominal}, {"rough", Weights::kRough}});
  s.retry_advice = read.Flag("settings.caps.retryAfter");
  s.decay =
      read.Word<Decay>("settings.familyInfo.decay", {{"even", Decay::kEven}, {"by_half", Decay::kByHalf}});
  s.over_share_worth = read.Number("settings.overShareWorth");
  s.price_cross_zone = read.Number("settings.prices.crossZone");
  s.price_handshake = read.Number("settings.prices.handshake");
  s.tick = read.Time("settings.tick");
  s.idle_close = read.Time("settings.caps.idleClose");
  s.max_retry_after = read.Time("settings.caps.maxRetryAfter");
  ReadGuarantees(read, s);
  ReadLists(read, s);
  return s;
}

Micros ReadConnectTimeout(const json& whole) {
  return SettingsReader(whole).Time("settings.caps.dialTimeout");
}

}  // namespace indigosaddle::node

#include "wire/settings.h"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <string>

namespace indigosaddle::wire {
namespace {

// Classes or tenants: far above any real list, a larger count can only come from bad input.
constexpr std::uint64_t kMaxItems = 10000;

int Int(const Fields& fields, std::string_view name) {
  const std::int64_t value = fields.Integer(name, 0);
  if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max()) {
    fields.Reject(name, "an integer of 32 bits");
  }
  return static_cast<int>(value);
}

// Reads a field that must be one of the given words; `absent` if it is missing.
template <typename T>
T ReadEnum(const Fields& fields, const std::string& name, T absent,
           std::initializer_list<std::pair<std::string_view, T>> words) {
  const auto text = fields.Find(name);
  if (!text) return absent;
  std::string known;
  for (const auto& [word, value] : words) {
    if (word == *text) return value;
    known += (known.empty() ? "" : " or ") + std::string(word);
  }
  fields.Reject(name, known);
}

std::size_t Count(const Fields& fields, std::string_view name) {
  const std::uint64_t count = fields.Unsigned(name, 0);
  if (count > kMaxItems) fields.Reject(name, "at most 10000 items");
  return count;
}

// Reads the class whose fields' names begin with `prefix`.
ClassSettings ReadClass(const Fields& fields, const std::string& prefix) {
  ClassSettings settings;
  settings.worth = fields.Number(prefix + "worth", 0);
  settings.late_value = fields.Number(prefix + "lateValue", 0);
  settings.aim = fields.Time(prefix + "aim", Micros(0));
  settings.deadline = fields.Time(prefix + "deadline", Micros(0));
  settings.effect = ReadEnum<Effect>(fields, prefix + "effect", Effect::kUnsafe,
                                     {{"read_like", Effect::kSafe},
                                      {"idempotency_key", Effect::kKeyed},
                                      {"non_idempotent", Effect::kUnsafe}});
  settings.group = ReadEnum<Group>(fields, prefix + "group", Group::kCell,
                                   {{"all", Group::kAll}, {"zone", Group::kZone}, {"cell", Group::kCell}});
  settings.key_ttl = fields.Time(prefix + "keyTtl", Micros(0));
  settings.sequential = fields.Flag(prefix + "sequential", false);
  return settings;
}

}  // namespace

Settings ReadSettings(const Fields& fields) {
  Settings settings;
  settings.seed = fields.Unsigned("randomSeed", 0);
  settings.senders = Int(fields, "balancers");
  settings.own_zone = Int(fields, "zone");
  settings.call_slots = Int(fields, "familyInfo.callSlots");
  settings.max_open = Int(fields, "caps.maxOpen");
  settings.max_attempts = Int(fields, "caps.attemptsCap");
  settings.discovery =
      ReadEnum<Discovery>(fields, "discovery", Discovery::kPushed,
                          {{"pushed", Discovery::kPushed}, {"on_request", Discovery::kOnRequest}});
  settings.weights = ReadEnum<Weights>(fields, "weightKind", Weights::kNone,
                                       {{"off", Weights::kNone},
                                        {"nominal", Weights::kNominal},
                                        {"rough", Weights::kRough},
                                        {"live", Weights::kNone}});
  settings.retry_advice = fields.Flag("caps.retryAfter", true);
  settings.decay = ReadEnum<Decay>(fields, "familyInfo.decay", Decay::kEven,
                                   {{"even", Decay::kEven}, {"by_half", Decay::kByHalf}});
  settings.over_share_worth = fields.Number("overShareWorth", 1);
  settings.price_cross_zone = fields.Number("prices.crossZone", 0);
  settings.price_handshake = fields.Number("prices.handshake", 0);
  settings.cold_from = fields.Number("guarantees.coldFrom", 0);
  settings.overload_factor = fields.Number("guarantees.overloadFactor", 0);
  settings.cold = fields.Time("guarantees.cold", Micros(0));
  settings.fall = fields.Time("guarantees.fall", Micros(0));
  settings.must_ask_in = fields.Time("guarantees.mustAskIn", Micros(0));
  settings.turn_gap = fields.Time("guarantees.turnGap", Micros(0));
  settings.tick = fields.Time("tick", Micros(0));
  settings.idle_close = fields.Time("caps.idleClose", Micros(0));
  settings.max_retry_after = fields.Time("caps.maxRetryAfter", Micros(0));
  for (std::size_t i = 0; i < Count(fields, "classes.count"); ++i) {
    settings.classes.push_back(ReadClass(fields, "classes." + std::to_string(i) + "."));
  }
  for (std::size_t i = 0; i < Count(fields, "orgs.count"); ++i) {
    settings.tenants.push_back({fields.Number("orgs." + std::to_string(i) + ".quotaRps", 0)});
  }
  const std::vector<bool> separate_routes = fields.Flags("familyInfo.separateRoutes");
  const std::vector<double> per_call = fields.Numbers("familyInfo.perCall");
  settings.kinds.resize(std::max(separate_routes.size(), per_call.size()));
  for (std::size_t i = 0; i < separate_routes.size(); ++i)
    settings.kinds[i].separate_routes = separate_routes[i];
  for (std::size_t i = 0; i < per_call.size(); ++i) {
    if (per_call[i] < 0 || per_call[i] > std::numeric_limits<int>::max()) {
      fields.Reject("familyInfo.perCall", "whole numbers from 0 up");
    }
    settings.kinds[i].per_call = static_cast<int>(per_call[i]);
  }
  settings.zone_fee = fields.Numbers("familyInfo.zoneFee");
  return settings;
}

}  // namespace indigosaddle::wire

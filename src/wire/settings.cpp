#include "wire/settings.h"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <string>

namespace indigosaddle::wire {
namespace {

constexpr std::uint64_t kMostItems = 10000;  // classes or tenants: far over any real list, against bad input

int Int(const Fields& fields, std::string_view name) {
  const std::int64_t value = fields.Integer(name, 0);
  if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max()) {
    fields.Reject(name, "an integer of 32 bits");
  }
  return static_cast<int>(value);
}

template <typename T>
T Word(const Fields& fields, const std::string& name, T absent,
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
  if (count > kMostItems) fields.Reject(name, "at most 10000 items");
  return count;
}

ClassSettings ReadClass(const Fields& fields, const std::string& at) {
  ClassSettings c;
  c.worth = fields.Number(at + "worth", 0);
  c.late_value = fields.Number(at + "lateValue", 0);
  c.aim = fields.Time(at + "aim", Micros(0));
  c.deadline = fields.Time(at + "deadline", Micros(0));
  c.effect = Word<Effect>(fields, at + "effect", Effect::kUnsafe,
                          {{"read_like", Effect::kSafe},
                           {"idempotency_key", Effect::kKeyed},
                           {"non_idempotent", Effect::kUnsafe}});
  c.group = Word<Group>(fields, at + "group", Group::kCell,
                        {{"all", Group::kAll}, {"zone", Group::kZone}, {"cell", Group::kCell}});
  c.key_ttl = fields.Time(at + "keyTtl", Micros(0));
  c.sequential = fields.Flag(at + "sequential", false);
  return c;
}

}  // namespace

Settings ReadSettings(const Fields& fields) {
  Settings s;
  s.seed = fields.Unsigned("randomSeed", 0);
  s.senders = Int(fields, "balancers");
  s.own_zone = Int(fields, "zone");
  s.call_slots = Int(fields, "familyInfo.callSlots");
  s.max_open = Int(fields, "caps.maxOpen");
  s.max_attempts = Int(fields, "caps.attemptsCap");
  s.discovery = Word<Discovery>(fields, "discovery", Discovery::kPushed,
                                {{"pushed", Discovery::kPushed}, {"on_request", Discovery::kOnRequest}});
  s.weights = Word<Weights>(fields, "weightKind", Weights::kNone,
                            {{"off", Weights::kNone},
                             {"nominal", Weights::kNominal},
                             {"rough", Weights::kRough},
                             {"live", Weights::kNone}});
  s.retry_advice = fields.Flag("caps.retryAfter", true);
  s.decay = Word<Decay>(fields, "familyInfo.decay", Decay::kEven,
                        {{"even", Decay::kEven}, {"by_half", Decay::kByHalf}});
  s.over_share_worth = fields.Number("overShareWorth", 1);
  s.price_cross_zone = fields.Number("prices.crossZone", 0);
  s.price_handshake = fields.Number("prices.handshake", 0);
  s.cold_from = fields.Number("guarantees.coldFrom", 0);
  s.overload_factor = fields.Number("guarantees.overloadFactor", 0);
  s.cold = fields.Time("guarantees.cold", Micros(0));
  s.fall = fields.Time("guarantees.fall", Micros(0));
  s.must_ask_in = fields.Time("guarantees.mustAskIn", Micros(0));
  s.turn_gap = fields.Time("guarantees.turnGap", Micros(0));
  s.tick = fields.Time("tick", Micros(0));
  s.idle_close = fields.Time("caps.idleClose", Micros(0));
  s.max_retry_after = fields.Time("caps.maxRetryAfter", Micros(0));
  for (std::size_t i = 0; i < Count(fields, "classes.count"); ++i) {
    s.classes.push_back(ReadClass(fields, "classes." + std::to_string(i) + "."));
  }
  for (std::size_t i = 0; i < Count(fields, "orgs.count"); ++i) {
    s.tenants.push_back({fields.Number("orgs." + std::to_string(i) + ".quotaRps", 0)});
  }
  const std::vector<bool> apart = fields.Flags("familyInfo.separateRoutes");
  const std::vector<double> per_call = fields.Numbers("familyInfo.perCall");
  s.kinds.resize(std::max(apart.size(), per_call.size()));
  for (std::size_t i = 0; i < apart.size(); ++i) s.kinds[i].separate_routes = apart[i];
  for (std::size_t i = 0; i < per_call.size(); ++i) {
    if (per_call[i] < 0 || per_call[i] > std::numeric_limits<int>::max()) {
      fields.Reject("familyInfo.perCall", "whole numbers from 0 up");
    }
    s.kinds[i].per_call = static_cast<int>(per_call[i]);
  }
  s.zone_fee = fields.Numbers("familyInfo.zoneFee");
  return s;
}

}  // namespace indigosaddle::wire

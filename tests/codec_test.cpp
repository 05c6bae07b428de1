// The decoder of the simulator's protocol: every event, and unusual but legal input.
#include "wire/codec.h"

#include <gtest/gtest.h>

#include <sstream>

namespace indigosaddle::wire {
namespace {

std::vector<Batch> DecodeAll(const std::string& text, std::string* notes = nullptr) {
  std::istringstream in(text);
  std::ostringstream out;
  Decoder decoder(in, out);
  std::vector<Batch> batches;
  while (auto batch = decoder.Next()) batches.push_back(std::move(*batch));
  if (notes != nullptr) *notes = out.str();
  return batches;
}

template <typename T>
T DecodeOne(const std::string& line) {
  const auto batches = DecodeAll("turn moment=1.5\n" + line + "\neob\n");
  return std::get<T>(batches.at(0).events.at(0).body);
}

TEST(Decode, ClockAndEmptyBatches) {
  const auto batches = DecodeAll("turn moment=8412.25\neob\nturn moment=8412.251\neob\n\n");
  ASSERT_EQ(batches.size(), 2U);
  EXPECT_EQ(batches[0].now, Micros(8412250));
  EXPECT_EQ(batches[1].now, Micros(8412251));
  EXPECT_TRUE(batches[0].events.empty());
}

TEST(Decode, MessageWithAllFieldsInAnyOrder) {
  const auto m = DecodeOne<Message>(
      "inbound toDest=57 options=1 nodeId=3 giveUpAt=8652.25 opId=1564119492 tierClass=2 clientGroup=1 "
      "subject=91f03b7c55d20a64 sizeHint=12.0 someday=new");
  EXPECT_EQ(m.id, 1564119492U);
  EXPECT_EQ(m.message_class, 2);
  EXPECT_EQ(m.tenant, 1);
  EXPECT_EQ(m.key, "91f03b7c55d20a64");
  EXPECT_EQ(m.deadline, Micros(8652250));
  EXPECT_EQ(m.destination, 57U);
}

TEST(Decode, MessageWithOptionalFieldsAbsent) {
  const auto m = DecodeOne<Message>("inbound nodeId=3 opId=5 giveUpAt=10 toDest=57.0");
  EXPECT_EQ(m.message_class, 0);
  EXPECT_EQ(m.tenant, 0);
  EXPECT_EQ(m.key, "");
  EXPECT_EQ(m.destination, 57U);
}

TEST(Decode, EveryOutcome) {
  const std::vector<std::pair<int, Result>> codes = {{200, Result::kOk},           {500, Result::kError},
                                                     {503, Result::kRefused},      {504, Result::kTimeout},
                                                     {502, Result::kNoConnection}, {598, Result::kReset},
                                                     {499, Result::kCancelled},    {410, Result::kNotSent}};
  for (const auto& [code, result] : codes) {
    const auto o = DecodeOne<Outcome>(
        "settled nodeId=3 opId=5 go=2 endpoint=10.0.0.1:80 waitTime=18.5 note=250 status=" +
        std::to_string(code));
    EXPECT_EQ(o.result, result);
    EXPECT_EQ(o.attempt, 2);
    EXPECT_EQ(o.latency, Micros(18500));
    EXPECT_FALSE(o.last);
    EXPECT_EQ(o.wait, code == 503 ? Micros(250000) : Micros(0));  // the note of a 410 is no Retry-After
    EXPECT_LT(o.load.limit, 0);
  }
}

TEST(Decode, LoadReport) {
  const auto o = DecodeOne<Outcome>(
      "settled nodeId=3 opId=5 go=0 endpoint=e status=200 last=1 gauge=x0:0.4,x1:1.25,other:3");
  EXPECT_TRUE(o.last);
  EXPECT_DOUBLE_EQ(o.load.left, 0.4);
  EXPECT_DOUBLE_EQ(o.load.limit, 1.25);
}

TEST(Decode, OtherEvents) {
  EXPECT_EQ(DecodeOne<Reminder>("reminder nodeId=3 cookie=9223372036854775807").token, 9223372036854775807U);
  EXPECT_EQ(DecodeOne<Withdrawn>("lapsed nodeId=3 opId=9").id, 9U);
  DecodeOne<Kill>("kill nodeId=3");
  const auto probe =
      DecodeOne<ProbeResult>("status_back nodeId=3 endpoint=e status=502 waitTime=3 gauge=x1:2");
  EXPECT_EQ(probe.result, Result::kNoConnection);
  EXPECT_DOUBLE_EQ(probe.load.limit, 2);
  EXPECT_EQ(DecodeOne<Announce>("announce nodeId=3 mode=failed epoch=1").entries, nullptr);
}

TEST(Decode, AListNumberRefersToItsLatestRegistration) {
  const auto batches = DecodeAll(
      "turn moment=1\n"
      "register bank=0 items=1\n"
      "row endpoint=a:1 locality=1 familyType=2 destination=57 state=ready heft=1\n"
      "announce nodeId=1 mode=cached epoch=1 bank=0\n"
      "register bank=0 items=2\n"
      "row endpoint=b:1 destination=58 state=draining heft=1.5 onlineSince=6100.0\n"
      "row endpoint=c:1 destination=58 state=gone\n"
      "announce nodeId=2 mode=full epoch=2 bank=0\n"
      "register bank=15 items=0\n"
      "announce nodeId=1 mode=delta epoch=3 bank=15\n"
      "eob\n"
      "turn moment=2\n"
      "announce nodeId=1 mode=full epoch=2 bank=0\n"
      "eob\n");
  const auto list = [&](std::size_t batch, std::size_t event) {
    return std::get<Announce>(batches.at(batch).events.at(event).body);
  };
  EXPECT_EQ(list(0, 0).entries->at(0).id, "a:1");
  EXPECT_EQ(list(0, 0).entries->at(0).zone, 1);
  EXPECT_EQ(list(0, 0).entries->at(0).kind, 2);
  EXPECT_EQ(list(0, 0).mode, ListMode::kCached);
  EXPECT_EQ(list(0, 1).entries->at(0).state, EndpointState::kDraining);
  EXPECT_EQ(list(0, 1).entries->at(1).state, EndpointState::kGone);
  EXPECT_EQ(list(0, 2).mode, ListMode::kChanges);
  EXPECT_TRUE(list(0, 2).entries->empty());
  EXPECT_EQ(list(1, 0).entries->size(), 2U);  // the list registered last under that number
}

TEST(Decode, SettingsWithAllFields) {
  const auto c = DecodeOne<Configure>(
      "configure nodeId=3 randomSeed=5138197539985895 balancers=2 caps.attemptsCap=12 caps.maxOpen=165 "
      "caps.idleClose=15000.0 caps.maxRetryAfter=2000.0 classes.count=2 classes.0.aim=2500.0 "
      "classes.0.deadline=20000.0 classes.0.effect=idempotency_key classes.0.group=zone "
      "classes.0.keyTtl=15000.0 "
      "classes.0.lateValue=0.4 classes.0.name=zone-notice classes.0.worth=1.0 classes.1.effect=read_like "
      "classes.1.sequential=true discovery=on_request familyInfo.callSlots=9 familyInfo.decay=by_half "
      "familyInfo.notes=full:_milliseconds familyInfo.perCall=5,1 familyInfo.separateRoutes=true,false "
      "familyInfo.zoneFee=0.06,0.0 guarantees.cold=14000.0 guarantees.coldFrom=0.23 guarantees.fall=2000.0 "
      "guarantees.mustAskIn=10000.0 guarantees.overloadFactor=2.0 guarantees.turnGap=100.0 orgs.count=2 "
      "orgs.0.quotaRps=15.0 orgs.1.quotaRps=6.0 overShareWorth=0.2 prices.crossZone=0.02 "
      "prices.handshake=0.06 "
      "tick=5.0 zone=1 quite.new=thing");
  const Settings& s = c.settings;
  EXPECT_EQ(s.seed, 5138197539985895U);
  EXPECT_EQ(s.senders, 2);
  EXPECT_EQ(s.own_zone, 1);
  EXPECT_EQ(s.call_slots, 9);
  EXPECT_EQ(s.max_open, 165);
  EXPECT_EQ(s.max_attempts, 12);
  EXPECT_EQ(s.discovery, Discovery::kOnRequest);
  EXPECT_EQ(s.decay, Decay::kByHalf);
  EXPECT_EQ(s.cold, Micros(14000000));
  EXPECT_DOUBLE_EQ(s.cold_from, 0.23);
  EXPECT_EQ(s.fall, Micros(2000000));
  EXPECT_EQ(s.must_ask_in, Micros(10000000));
  EXPECT_EQ(s.turn_gap, Micros(100000));
  EXPECT_EQ(s.tick, Micros(5000));
  EXPECT_EQ(s.idle_close, Micros(15000000));
  EXPECT_EQ(s.max_retry_after, Micros(2000000));
  EXPECT_DOUBLE_EQ(s.overload_factor, 2);
  EXPECT_DOUBLE_EQ(s.over_share_worth, 0.2);
  EXPECT_DOUBLE_EQ(s.price_cross_zone, 0.02);
  EXPECT_DOUBLE_EQ(s.price_handshake, 0.06);
  ASSERT_EQ(s.classes.size(), 2U);
  EXPECT_EQ(s.classes[0].effect, Effect::kKeyed);
  EXPECT_EQ(s.classes[0].group, Group::kZone);
  EXPECT_EQ(s.classes[0].key_ttl, Micros(15000000));
  EXPECT_EQ(s.classes[0].aim, Micros(2500000));
  EXPECT_EQ(s.classes[0].deadline, Micros(20000000));
  EXPECT_DOUBLE_EQ(s.classes[0].late_value, 0.4);
  EXPECT_EQ(s.classes[1].effect, Effect::kSafe);
  EXPECT_TRUE(s.classes[1].sequential);
  ASSERT_EQ(s.kinds.size(), 2U);
  EXPECT_TRUE(s.kinds[0].separate_routes);
  EXPECT_EQ(s.kinds[0].per_call, 5);
  EXPECT_FALSE(s.kinds[1].separate_routes);
  EXPECT_EQ(s.zone_fee, (std::vector<double>{0.06, 0}));
  ASSERT_EQ(s.tenants.size(), 2U);
  EXPECT_DOUBLE_EQ(s.tenants[1].quota_per_second, 6);
}

TEST(Decode, WeightKindsRetryAdviceAndEndpointWeights) {
  EXPECT_EQ(DecodeOne<Configure>("configure nodeId=0 weightKind=nominal").settings.weights,
            Weights::kNominal);
  EXPECT_EQ(DecodeOne<Configure>("configure nodeId=0 weightKind=rough").settings.weights, Weights::kRough);
  EXPECT_EQ(DecodeOne<Configure>("configure nodeId=0 weightKind=off").settings.weights, Weights::kNone);
  EXPECT_FALSE(DecodeOne<Configure>("configure nodeId=0 caps.retryAfter=false").settings.retry_advice);
  const auto batches = DecodeAll(
      "turn moment=1.5\nregister bank=0 items=2\n"
      "row endpoint=a:1 destination=5 state=ready heft=4.5\nrow endpoint=b:1 destination=6 state=ready "
      "heft=-1\n"
      "announce nodeId=0 mode=full epoch=1 bank=0\neob\n");
  const auto& entries = *std::get<Announce>(batches.at(0).events.at(0).body).entries;
  EXPECT_DOUBLE_EQ(entries.at(0).weight, 4.5);
  EXPECT_DOUBLE_EQ(entries.at(1).weight, 0);
}

TEST(Decode, MissingSettingsGetDefaults) {
  const Settings s = DecodeOne<Configure>("configure nodeId=0").settings;
  EXPECT_EQ(s.weights, Weights::kNone);
  EXPECT_TRUE(s.retry_advice);
  EXPECT_EQ(s.price_handshake, 0);
  EXPECT_TRUE(s.classes.empty());
  EXPECT_TRUE(s.kinds.empty());
  EXPECT_EQ(s.call_slots, 0);
}

TEST(Decode, UnknownEventsAreNotedOnceAndSkipped) {
  std::string notes;
  const auto batches = DecodeAll(
      "turn moment=1\nomen nodeId=1 x=2\nomen nodeId=1\nstreaming nodeId=1 opId=1 go=0 endpoint=e "
      "waitTime=1\n"
      "kill nodeId=1\neob\n",
      &notes);
  EXPECT_EQ(batches.at(0).events.size(), 1U);
  EXPECT_EQ(notes, "passing over unknown event 'omen'\n");
}

TEST(Decode, LargeBatch) {
  std::string text = "turn moment=1\n";
  for (int i = 0; i < 60000; ++i) {
    text += "inbound nodeId=3 opId=" + std::to_string(i) + " tierClass=0 giveUpAt=8652.25 toDest=57\n";
  }
  EXPECT_EQ(DecodeAll(text + "eob\n").at(0).events.size(), 60000U);
}

}  // namespace
}  // namespace indigosaddle::wire

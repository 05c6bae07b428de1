// Benchmarks of a turn with new settings against one without, by the number of pending messages, and of
// writing one log line.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include "base/log_events.h"
#include "brain.h"

namespace indigosaddle {
namespace {

// A host that ignores every effect of the delivery policy.
class NullHost : public Host {
 public:
  void Send(MessageId, const EndpointId&, Micros) override {}
  void Refuse(MessageId, Micros) override {}
  void Fail(MessageId) override {}
  void SetTimer(Micros) override {}
  void Watch() override {}
  void CloseIdle(const EndpointId&) override {}
};

Settings FourClassSettings() {
  Settings settings;
  settings.max_open = 100000;
  settings.tick = Micros(5000);
  settings.classes.resize(4);
  for (ClassSettings& c : settings.classes) {
    c.worth = 1;
    c.aim = Micros(1000000);
    c.deadline = Micros(60000000);
  }
  settings.kinds.resize(1);
  return settings;
}

// Measures one turn while `state.range(0)` messages wait.
void RunTurns(benchmark::State& state, bool new_settings) {
  NullHost host;
  const auto brain = MakeBrain(FourClassSettings(), host);
  Micros now{0};
  brain->OnTurnStart(now);
  brain->OnList({{"drains", 0, 0, 1, EndpointState::kDraining}}, true);  // keeps every message waiting
  for (int id = 1; id <= state.range(0); ++id) {
    brain->OnMessage({static_cast<MessageId>(id), id % 4, 0, "", Micros(60000000), 1});
  }
  brain->OnTurnEnd();
  const Settings settings = FourClassSettings();
  for (auto _ : state) {
    now += Micros(1);
    brain->OnTurnStart(now);
    if (new_settings) brain->OnSettings(settings);
    brain->OnTurnEnd();
  }
}

void TurnWithoutNewSettings(benchmark::State& state) { RunTurns(state, false); }
void TurnWithNewSettings(benchmark::State& state) { RunTurns(state, true); }
BENCHMARK(TurnWithoutNewSettings)->Arg(0)->Arg(100)->Arg(2000);
BENCHMARK(TurnWithNewSettings)->Arg(0)->Arg(100)->Arg(2000);

void LogLine(benchmark::State& state) {
  const int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
  {
    base::Log log(
        "n1", {base::Level::kInfo, state.range(0) != 0 ? base::Format::kJson : base::Format::kText, 1 << 30},
        sink);
    for (auto _ : state) {
      log.Write(base::kMessageEnded, "9b1f03aa5c7e2d41", "notice", "acme", 7, "returned", 3,
                std::chrono::microseconds(1234567));
    }
  }
  close(sink);
}
BENCHMARK(LogLine)->ArgName("json")->Arg(0)->Arg(1);

void LogLineBelowLevel(benchmark::State& state) {
  base::Log log("n1");
  for (auto _ : state) log.Write(base::kClientEnded, 1, "left", 2, std::chrono::microseconds(5));
}
BENCHMARK(LogLineBelowLevel);

}  // namespace
}  // namespace indigosaddle

BENCHMARK_MAIN();

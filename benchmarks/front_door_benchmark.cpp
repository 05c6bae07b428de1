// What a turn with new settings costs the module, by how many messages it holds, beside a turn without; and
// what a line of the log costs.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include "base/log_events.h"
#include "brain.h"

namespace indigosaddle {
namespace {

class NoHost : public Host {
 public:
  void Send(MessageId, const EndpointId&, Micros) override {}
  void Refuse(MessageId, Micros) override {}
  void Fail(MessageId) override {}
  void SetTimer(Micros) override {}
  void Watch() override {}
  void CloseIdle(const EndpointId&) override {}
};

Settings SomeSettings() {
  Settings settings;
  settings.max_open = 100000;
  settings.tick = Micros(5000);
  settings.classes.resize(4);
  for (ClassSettings& c : settings.classes)
    c.worth = 1, c.aim = Micros(1000000), c.deadline = Micros(60000000);
  settings.kinds.resize(1);
  return settings;
}

void Turn(benchmark::State& state, bool changes) {
  NoHost host;
  const auto brain = MakeBrain(SomeSettings(), host);
  Micros now{0};
  brain->OnTurnStart(now);
  brain->OnList({{"drains", 0, 0, 1, EndpointState::kDraining}}, true);  // so that all wait
  for (int id = 1; id <= state.range(0); ++id) {
    brain->OnMessage({static_cast<MessageId>(id), id % 4, 0, "", Micros(60000000), 1});
  }
  brain->OnTurnEnd();
  const Settings settings = SomeSettings();
  for (auto _ : state) {
    now += Micros(1);
    brain->OnTurnStart(now);
    if (changes) brain->OnSettings(settings);
    brain->OnTurnEnd();
  }
}

void TurnWithout(benchmark::State& state) { Turn(state, false); }
void TurnWithNewSettings(benchmark::State& state) { Turn(state, true); }
BENCHMARK(TurnWithout)->Arg(0)->Arg(100)->Arg(2000);
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

void LogLineBelowTheLevel(benchmark::State& state) {
  base::Log log("n1");
  for (auto _ : state) log.Write(base::kClientEnded, 1, "left", 2, std::chrono::microseconds(5));
}
BENCHMARK(LogLineBelowTheLevel);

}  // namespace
}  // namespace indigosaddle

BENCHMARK_MAIN();

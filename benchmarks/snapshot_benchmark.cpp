// Cost of reading the fleet's snapshot on the path of a request, while the fleet's thread replaces it 1,000
// times a second: by read-copy-update as built, under a mutex, and through std::atomic<std::shared_ptr>.
#include <benchmark/benchmark.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>

#include "fleet/published.h"

namespace {

using indigosaddle::fleet::PublishedSnapshot;
using indigosaddle::fleet::Snapshot;

std::unique_ptr<Snapshot> Make(std::uint64_t number) {
  auto snapshot = std::make_unique<Snapshot>();
  snapshot->number = number;
  snapshot->members.resize(300);
  return snapshot;
}

// Calls `publish` 1,000 times a second until it is destroyed.
class Writer {
 public:
  template <typename Publish>
  explicit Writer(Publish publish)
      : thread_([this, publish] {
          for (std::uint64_t number = 1; !done_; ++number) {
            publish(number);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
          }
        }) {}
  ~Writer() {
    done_ = true;
    thread_.join();
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

 private:
  std::atomic<bool> done_{false};
  std::thread thread_;
};

// One read section per request.
void ReadCopyUpdate(benchmark::State& state) {
  PublishedSnapshot published;
  const PublishedSnapshot::Reader reader(published);
  const Writer writer([&](std::uint64_t number) { published.Publish(Make(number)); });
  for (auto _ : state) {
    const PublishedSnapshot::Reader::ReadSection section(reader);
    benchmark::DoNotOptimize(section.get().members.data());
  }
}
BENCHMARK(ReadCopyUpdate);

// A turn of the node's loop takes one read section for all its requests: here 16.
void ReadCopyUpdateATurnOf16(benchmark::State& state) {
  PublishedSnapshot published;
  const PublishedSnapshot::Reader reader(published);
  const Writer writer([&](std::uint64_t number) { published.Publish(Make(number)); });
  while (state.KeepRunningBatch(16)) {
    const PublishedSnapshot::Reader::ReadSection section(reader);
    for (int i = 0; i < 16; ++i) benchmark::DoNotOptimize(section.get().members.data());
  }
}
BENCHMARK(ReadCopyUpdateATurnOf16);

void Mutex(benchmark::State& state) {
  std::mutex mutex;
  std::unique_ptr<Snapshot> current = Make(0);
  const Writer writer([&](std::uint64_t number) {
    auto next = Make(number);
    const std::lock_guard lock(mutex);
    current.swap(next);
  });
  for (auto _ : state) {
    const std::lock_guard lock(mutex);
    benchmark::DoNotOptimize(current->members.data());
  }
}
BENCHMARK(Mutex);

void AtomicSharedPointer(benchmark::State& state) {
  std::atomic<std::shared_ptr<const Snapshot>> current{Make(0)};
  const Writer writer([&](std::uint64_t number) { current.store(Make(number)); });
  for (auto _ : state) {
    const std::shared_ptr<const Snapshot> section = current.load();
    benchmark::DoNotOptimize(section->members.data());
  }
}
BENCHMARK(AtomicSharedPointer);

}  // namespace

BENCHMARK_MAIN();

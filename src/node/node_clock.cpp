#include "node/node_clock.h"

#include <fmt/format.h>
#include <uv.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <limits>

#include "base/replace_file.h"

namespace indigosaddle::node {
namespace {

constexpr const char* kBootIdPath = "/proc/sys/kernel/random/boot_id";
constexpr std::int64_t kMaxNodeTime = std::numeric_limits<std::int64_t>::max() / 2;  // microseconds

Micros MonotonicNow() { return std::chrono::duration_cast<Micros>(std::chrono::nanoseconds(uv_hrtime())); }

Micros WallClockNow() {
  return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

// Identifies the present boot of the machine. Empty if the system does not provide it: no earlier process is
// then known to have run in the same boot.
std::string BootId() {
  std::string id;
  std::ifstream(kBootIdPath) >> id;
  return id;
}

}  // namespace

NodeClock::NodeClock(net::Loop& loop, const std::string& folder) : loop_(loop), path_(folder + "/clock") {
  const Micros monotonic = MonotonicNow();
  const std::string boot = BootId();
  const auto earlier = Load();
  continued_ = !boot.empty() && earlier && earlier->boot == boot && earlier->monotonic <= monotonic;
  origin_ = continued_ ? *earlier : Origin{boot, monotonic, WallClockNow()};
  saved_ = continued_;
  loop_.SetTime(origin_.node_time + (monotonic - origin_.monotonic));
}

std::optional<NodeClock::Origin> NodeClock::Load() const {
  std::ifstream file(path_);
  std::string boot, end_mark, trailing;
  std::int64_t monotonic = 0, node_time = 0;
  const bool complete =
      (file >> boot >> monotonic >> node_time >> end_mark) && end_mark == "end" && !(file >> trailing);
  if (!complete || monotonic < 0 || node_time <= 0 || node_time > kMaxNodeTime) return std::nullopt;
  return Origin{boot, Micros(monotonic), Micros(node_time)};
}

bool NodeClock::Save() {
  if (saved_ || origin_.boot.empty()) return true;
  saved_ = base::ReplaceFile(path_, fmt::format("{} {} {} end\n", origin_.boot, origin_.monotonic.count(),
                                                origin_.node_time.count()));
  return saved_;
}

Micros NodeClock::ahead_of_wall() const { return loop_.Now() - WallClockNow(); }

}  // namespace indigosaddle::node

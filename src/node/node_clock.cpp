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
constexpr std::int64_t kMostNodeTime = std::numeric_limits<std::int64_t>::max() / 2;  // microseconds

Micros Monotonic() { return std::chrono::duration_cast<Micros>(std::chrono::nanoseconds(uv_hrtime())); }

Micros Wall() {
  return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

// Empty where the system does not say: then no earlier process is known to be of the same boot.
std::string BootId() {
  std::string id;
  std::ifstream(kBootIdPath) >> id;
  return id;
}

}  // namespace

NodeClock::NodeClock(net::Loop& loop, const std::string& folder) : loop_(loop), path_(folder + "/clock") {
  const Micros monotonic = Monotonic();
  const std::string boot = BootId();
  const auto before = Load();
  continued_ = !boot.empty() && before && before->boot == boot && before->monotonic <= monotonic;
  origin_ = continued_ ? *before : Origin{boot, monotonic, Wall()};
  saved_ = continued_;
  loop_.SetTime(origin_.node_time + (monotonic - origin_.monotonic));
}

std::optional<NodeClock::Origin> NodeClock::Load() const {
  std::ifstream file(path_);
  std::string boot, end, more;
  std::int64_t monotonic = 0, node_time = 0;
  const bool whole = (file >> boot >> monotonic >> node_time >> end) && end == "end" && !(file >> more);
  if (!whole || monotonic < 0 || node_time <= 0 || node_time > kMostNodeTime) return std::nullopt;
  return Origin{boot, Micros(monotonic), Micros(node_time)};
}

bool NodeClock::Save() {
  if (saved_ || origin_.boot.empty()) return true;
  saved_ = base::ReplaceFile(path_, fmt::format("{} {} {} end\n", origin_.boot, origin_.monotonic.count(),
                                                origin_.node_time.count()));
  return saved_;
}

Micros NodeClock::ahead_of_wall() const { return loop_.Now() - Wall(); }

}  // namespace indigosaddle::node

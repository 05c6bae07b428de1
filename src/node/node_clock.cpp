#include "node/node_clock.h"

#include <fmt/format.h>
#include <uv.h>

#include <chrono>
#include <fstream>

#include "base/replace_file.h"

namespace indigosaddle::node {
namespace {

constexpr const char* kBootIdPath = "/proc/sys/kernel/random/boot_id";

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
  Origin before;
  continued_ = !boot.empty() && Load(before) && before.boot == boot && before.monotonic <= monotonic;
  origin_ = continued_ ? before : Origin{boot, monotonic, Wall()};
  saved_ = continued_;
  loop_.SetTime(origin_.node_time + (monotonic - origin_.monotonic));
}

bool NodeClock::Load(Origin& origin) const {
  std::ifstream file(path_);
  std::int64_t monotonic = 0, node_time = 0;
  std::string end;
  if (!(file >> origin.boot >> monotonic >> node_time >> end) || end != "end") return false;
  origin.monotonic = Micros(monotonic);
  origin.node_time = Micros(node_time);
  return true;
}

bool NodeClock::Save() {
  if (saved_ || origin_.boot.empty()) return true;
  saved_ = base::ReplaceFile(path_, fmt::format("{} {} {} end\n", origin_.boot, origin_.monotonic.count(),
                                                origin_.node_time.count()));
  return saved_;
}

Micros NodeClock::ahead_of_wall() const { return loop_.Now() - Wall(); }

}  // namespace indigosaddle::node

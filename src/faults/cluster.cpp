#include "faults/cluster.h"

#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace indigosaddle::faults {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::chrono::milliseconds kAnswerTime(1000);
constexpr std::chrono::milliseconds kLookEvery(15);
std::atomic<int> runs{0};

// One request on a control socket, and its answer; null where none comes.
json Ask(const std::string& path, const json& request) {
  const int descriptor = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  path.copy(at.sun_path, sizeof at.sun_path - 1);
  const std::string line = request.dump() + "\n";
  std::string answer;
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
      send(descriptor, line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size())) {
    const auto end = Clock::now() + kAnswerTime;
    while (answer.find('\n') == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
      pollfd wait{descriptor, POLLIN, 0};
      std::array<char, 65536> space{};
      if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) break;
      const ssize_t count = recv(descriptor, space.data(), space.size(), 0);
      if (count <= 0) break;
      answer.append(space.data(), static_cast<std::size_t>(count));
    }
  }
  close(descriptor);
  json read = json::parse(answer, nullptr, false);
  return read.is_object() ? read : json();
}

}  // namespace

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  // Each run of each process has loopback addresses of its own: nobody else can have taken the port
  // meanwhile.
  const int run = (getpid() * 7 + runs++) % 62000;
  for (int i = 0; i < options_.nodes; ++i)
    addresses_.push_back(fmt::format("127.{}.{}.{}:7946", 1 + run / 250, 1 + run % 250, i + 1));
  relay_ = std::make_unique<Relay>(addresses_, options_.seed);
  std::filesystem::remove_all(options_.folder);
  for (int i = 0; i < options_.nodes; ++i) {
    std::filesystem::create_directories(Folder(i));
    WriteFile(i);
  }
}

Cluster::~Cluster() {
  done_ = true;
  for (std::thread& watcher : watchers_) watcher.join();
  processes_.clear();
}

void Cluster::WriteFile(int i) const {
  std::ofstream file(options_.folder + "/" + Name(i) + ".toml");
  file << fmt::format(
      "{}\n[node]\nname = \"{}\"\nlisten = \"127.0.0.1:0\"\ndiscovery = \"{}\"\nstate = \"{}\"\n\n"
      "[control]\nsocket = \"c\"\n\n"
      "[fleet]\nlisten = \"{}\"\nprobe_every = \"{}ms\"\nprobe_timeout = \"{}ms\"\n"
      "exchange_every = \"{}ms\"\nlease = \"{}ms\"\nclock_drift = {}\nsite_hold = \"{}ms\"\ncount_senders = "
      "true\n\n",
      options_.more, Name(i), options_.discovery ? options_.discovery(i) : "127.0.0.1:9", Folder(i),
      addresses_[static_cast<std::size_t>(i)], options_.probe_ms, options_.timeout_ms, options_.exchange_ms,
      options_.lease_ms, options_.drift, options_.hold_ms);
  for (int other = 0; other < options_.nodes; ++other) {
    const std::string address =
        other == i ? addresses_[static_cast<std::size_t>(i)] : relay_->AddressFor(i, other);
    file << fmt::format("[[peers]]\nname = \"{}\"\nsite = \"s{}\"\naddress = \"{}\"\nvotes = {}\n\n",
                        Name(other), other % options_.sites, address, other < options_.voters);
  }
  file << (options_.tables.empty() ? "[[classes]]\nname = \"notice\"\neffect = \"safe\"\naim = "
                                     "\"1s\"\ndeadline = \"10s\"\nworth = 1\n"
                                   : options_.tables);
}

void Cluster::Start(int i) {
  std::map<std::string, std::string> environment;
  const auto rate = options_.rates.find(i);
  if (rate != options_.rates.end())
    environment["INDIGOSADDLE_TEST_CLOCK_RATE"] = fmt::format("{}", rate->second);
  processes_[i] = std::make_unique<Process>(
      options_.program,
      std::vector<std::string>{"serve", "--config", options_.folder + "/" + Name(i) + ".toml"}, environment,
      options_.folder + "/" + Name(i) + ".log");
}

void Cluster::StartAll() {
  for (int i = 0; i < options_.nodes; ++i) Start(i);
}

void Cluster::Kill(int i) { processes_.erase(i); }

std::optional<int> Cluster::Stop(int i) {
  processes_.at(i)->Signal(SIGTERM);
  const auto status = processes_.at(i)->Ended(std::chrono::seconds(20));
  processes_.erase(i);
  return status;
}

void Cluster::Forget(int i) {
  std::filesystem::remove_all(Folder(i));
  std::filesystem::create_directories(Folder(i));
}

json Cluster::Status(int i) const { return Ask(Folder(i) + "/c", {{"op", "status"}}); }

json Cluster::Fleet(int i) const {
  const json status = Status(i);
  return status.is_object() ? status.value("fleet", json()) : json();
}

std::string Cluster::State(int i, int of) const {
  const json fleet = Fleet(i);
  return fleet.is_object() ? fleet["members"][Name(of)].value("state", "") : "";
}

int Cluster::Holder() const {
  for (int i = 0; i < options_.nodes; ++i) {
    const json fleet = Up(i) ? Fleet(i) : json();
    if (fleet.is_object() && fleet["leases"].contains("coordinator")) return i;
  }
  return -1;
}

std::string Cluster::Log(int i) const {
  std::ifstream file(options_.folder + "/" + Name(i) + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool Cluster::Eventually(const std::function<bool()>& holds, std::chrono::milliseconds within) {
  const auto end = Clock::now() + within;
  while (!holds()) {
    if (Clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

void Cluster::WatchLeases() {
  for (int i = 0; i < options_.nodes; ++i) {
    watchers_.emplace_back([this, i] {
      while (!done_) {
        Look(i);
        std::this_thread::sleep_for(kLookEvery);
      }
    });
  }
}

void Cluster::Look(int i) {
  const auto asked = Clock::now();
  const json fleet = Fleet(i);
  const auto answered = Clock::now();
  if (!fleet.is_object() || !fleet["leases"].contains("coordinator")) return;
  const auto epoch = fleet["leases"]["coordinator"]["epoch"].get<std::uint64_t>();
  const std::lock_guard lock(mutex_);
  const auto [it, first] = spans_.try_emplace({epoch, i}, Span{i, answered, asked});
  it->second.to = std::max(it->second.to, asked);
}

std::string Cluster::Broken() const {
  const std::lock_guard lock(mutex_);
  std::string broken;
  const std::pair<const std::pair<std::uint64_t, int>, Span>* before = nullptr;
  for (const auto& one : spans_) {  // by epoch
    if (before != nullptr) {
      if (one.first.first == before->first.first) {
        broken += fmt::format("epoch {} of {} and {}\n", one.first.first, Name(before->second.node),
                              Name(one.second.node));
      }
      if (one.second.from < before->second.to && one.second.node != before->second.node) {
        broken += fmt::format("{} held epoch {} before {} let {} go\n", Name(one.second.node),
                              one.first.first, Name(before->second.node), before->first.first);
      }
    }
    before = &one;
  }
  return broken;
}

std::uint64_t Cluster::epochs() const {
  const std::lock_guard lock(mutex_);
  return spans_.size();
}

}  // namespace indigosaddle::faults

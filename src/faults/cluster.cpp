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

constexpr std::chrono::milliseconds kAnswerTimeout(1000);
constexpr std::chrono::milliseconds kLeaseSampleInterval(15);
std::atomic<int> clusters_created{0};  // by this process

// Sends one request to a control socket and returns the answer. Null if none comes within kAnswerTimeout, or
// if it is not a JSON object.
json Ask(const std::string& path, const json& request) {
  const int descriptor = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  path.copy(address.sun_path, sizeof address.sun_path - 1);
  const std::string line = request.dump() + "\n";
  std::string answer;
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
      send(descriptor, line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size())) {
    const auto end = Clock::now() + kAnswerTimeout;
    while (answer.find('\n') == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
      pollfd readable{descriptor, POLLIN, 0};
      std::array<char, 65536> buffer{};
      if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) <= 0) break;
      const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
      if (count <= 0) break;
      answer.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
  close(descriptor);
  json parsed = json::parse(answer, nullptr, false);
  return parsed.is_object() ? parsed : json();
}

}  // namespace

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  // Clusters get loopback addresses by process id and count, which seldom repeat, so that other processes
  // hardly ever have the port.
  const int run = (getpid() * 7 + clusters_created++) % 62000;
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
  stopping_ = true;
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
      options_.top_level_lines, Name(i), options_.discovery ? options_.discovery(i) : "127.0.0.1:9",
      Folder(i), addresses_[static_cast<std::size_t>(i)], options_.probe_interval_ms,
      options_.probe_timeout_ms, options_.exchange_interval_ms, options_.lease_ms, options_.clock_drift,
      options_.site_hold_ms);
  for (int other = 0; other < options_.nodes; ++other) {
    const std::string address =
        other == i ? addresses_[static_cast<std::size_t>(i)] : relay_->AddressFor(i, other);
    file << fmt::format("[[peers]]\nname = \"{}\"\nsite = \"s{}\"\naddress = \"{}\"\nvotes = {}\n\n",
                        Name(other), other % options_.sites, address, other < options_.voters);
  }
  file << (options_.extra_tables.empty() ? "[[classes]]\nname = \"notice\"\neffect = \"safe\"\naim = "
                                           "\"1s\"\ndeadline = \"10s\"\nworth = 1\n"
                                         : options_.extra_tables);
}

void Cluster::Start(int i) {
  std::map<std::string, std::string> environment;
  const auto rate = options_.clock_rates.find(i);
  if (rate != options_.clock_rates.end())
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
  const auto status = processes_.at(i)->WaitForExit(std::chrono::seconds(20));
  processes_.erase(i);
  return status;
}

void Cluster::WipeState(int i) {
  std::filesystem::remove_all(Folder(i));
  std::filesystem::create_directories(Folder(i));
}

json Cluster::Status(int i) const { return Ask(Folder(i) + "/c", {{"op", "status"}}); }

json Cluster::FleetStatus(int i) const {
  const json status = Status(i);
  return status.is_object() ? status.value("fleet", json()) : json();
}

std::string Cluster::MemberState(int observer, int member) const {
  const json fleet = FleetStatus(observer);
  return fleet.is_object() ? fleet["members"][Name(member)].value("state", "") : "";
}

int Cluster::LeaseHolder() const {
  for (int i = 0; i < options_.nodes; ++i) {
    const json fleet = IsRunning(i) ? FleetStatus(i) : json();
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

bool Cluster::Eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

void Cluster::WatchLeases() {
  for (int i = 0; i < options_.nodes; ++i) {
    watchers_.emplace_back([this, i] {
      while (!stopping_) {
        SampleLease(i);
        std::this_thread::sleep_for(kLeaseSampleInterval);
      }
    });
  }
}

// Asks the node whether it holds the lease. If it does, it held it at some moment between the request and the
// answer.
void Cluster::SampleLease(int i) {
  const auto asked = Clock::now();
  const json fleet = FleetStatus(i);
  const auto answered = Clock::now();
  if (!fleet.is_object() || !fleet["leases"].contains("coordinator")) return;
  const auto epoch = fleet["leases"]["coordinator"]["epoch"].get<std::uint64_t>();
  const std::lock_guard lock(mutex_);
  const auto [it, first] = hold_intervals_.try_emplace({epoch, i}, HoldInterval{i, answered, asked});
  it->second.to = std::max(it->second.to, asked);
}

std::string Cluster::LeaseViolations() const {
  const std::lock_guard lock(mutex_);
  std::string violations;
  const std::pair<const std::pair<std::uint64_t, int>, HoldInterval>* previous = nullptr;
  for (const auto& current : hold_intervals_) {  // by epoch
    if (previous != nullptr) {
      if (current.first.first == previous->first.first) {
        violations += fmt::format("epoch {} was held by both {} and {}\n", current.first.first,
                                  Name(previous->second.node), Name(current.second.node));
      }
      if (current.second.from < previous->second.to && current.second.node != previous->second.node) {
        violations += fmt::format("{} held epoch {} before {} released epoch {}\n", Name(current.second.node),
                                  current.first.first, Name(previous->second.node), previous->first.first);
      }
    }
    previous = &current;
  }
  return violations;
}

std::uint64_t Cluster::epochs_seen() const {
  const std::lock_guard lock(mutex_);
  return hold_intervals_.size();
}

}  // namespace indigosaddle::faults

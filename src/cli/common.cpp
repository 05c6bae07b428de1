#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <pwd.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/descriptor.h"
#include "cli/cli.h"
#include "node/startup_config.h"

namespace indigosaddle::cli {
namespace {

constexpr auto kPatience = std::chrono::seconds(10);
constexpr const char* kUsualSocket = "control.sock";
constexpr std::size_t kMostAnswer = std::size_t{16} * 1024 * 1024;

}  // namespace

std::string ReadText(const std::string& path) {
  std::error_code ignored;
  std::ifstream file(path, std::ios::binary);
  if (!file || std::filesystem::is_directory(path, ignored))
    throw Failure(Exit::kBadInput, path + ": can't be read");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

node::Config ConfigOf(const std::string& file) {
  auto environment = node::EdgeEnvironment();
  const bool json = file.ends_with(".json");
  if (json) environment["EDGE_CONFIG"] = file;
  try {
    config::Sources sources = node::ReadSources(environment, json ? "" : file);
    node::LoadLastGoodAsInForce(sources);
    return node::MakeConfig(sources);
  } catch (const node::ConfigError& error) {
    throw Failure(Exit::kBadInput, error.what());
  }
}

void Target::AddTo(CLI::App& command) {
  command.add_option("--socket", socket, "The node's control socket");
  command.add_option("--config", file, "The operator's file, which names folder and socket");
}

std::string Target::Path() const {
  if (!socket.empty()) return socket;
  if (!file.empty()) {
    const node::Config config = ConfigOf(file);
    if (config.control_socket.empty())
      throw Failure(Exit::kBadInput, file + ": control.socket names no socket");
    return config.state_folder + "/" + config.control_socket;
  }
  const auto environment = node::EdgeEnvironment();
  const auto state = environment.find("EDGE_STATE");
  if (state != environment.end()) return state->second + "/" + kUsualSocket;
  throw Failure(Exit::kBadInput, "which node? Give --socket PATH or --config FILE, or set EDGE_STATE");
}

nlohmann::json Ask(const std::string& socket_path, const nlohmann::json& request) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (socket_path.size() >= sizeof address.sun_path)
    throw Failure(Exit::kBadInput, socket_path + ": is too long");
  std::memcpy(address.sun_path, socket_path.data(), socket_path.size());
  const base::Descriptor peer(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (connect(peer.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw Failure(Exit::kFailed, fmt::format("{}: {}; does the node run, with control.socket set?",
                                             socket_path, std::strerror(errno)));
  }
  const std::string line = request.dump() + "\n";
  for (std::size_t done = 0; done < line.size();) {
    const ssize_t wrote = send(peer.get(), line.data() + done, line.size() - done, MSG_NOSIGNAL);
    if (wrote <= 0) throw Failure(Exit::kFailed, socket_path + ": the node closed the connection");
    done += static_cast<std::size_t>(wrote);
  }
  // A queued change answers when it is in force: as long as the trial before it lasts.
  const bool queued = request.value("wait", false);
  const auto end = std::chrono::steady_clock::now() + (queued ? std::chrono::hours(1) : kPatience);
  std::string answer;
  while (answer.find('\n') == std::string::npos) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    pollfd ready{peer.get(), POLLIN, 0};
    if (left.count() <= 0 || poll(&ready, 1, static_cast<int>(left.count())) == 0) {
      throw Failure(Exit::kFailed, socket_path + ": no answer in time");
    }
    char block[65536];
    const ssize_t count = recv(peer.get(), block, sizeof block, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) throw Failure(Exit::kFailed, socket_path + ": the node closed the connection");
    answer.append(block, static_cast<std::size_t>(count));
    if (answer.size() > kMostAnswer) throw Failure(Exit::kFailed, socket_path + ": the answer has no end");
  }
  auto parsed = nlohmann::json::parse(answer.substr(0, answer.find('\n')), nullptr, false);
  if (!parsed.is_object()) throw Failure(Exit::kFailed, socket_path + ": the answer can't be read");
  return parsed;
}

std::string User() {
  const passwd* entry = getpwuid(getuid());  // NOLINT(concurrency-mt-unsafe): one thread
  return entry != nullptr ? entry->pw_name : fmt::format("uid {}", getuid());
}

std::string TimeOf(std::int64_t millis) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", fmt::gmtime(static_cast<std::time_t>(millis / 1000)));
}

}  // namespace indigosaddle::cli

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

constexpr auto kAnswerTimeout = std::chrono::seconds(10);
constexpr const char* kDefaultSocketName = "control.sock";
constexpr std::size_t kMaxAnswerBytes = std::size_t{16} * 1024 * 1024;

}  // namespace

std::string ReadFileText(const std::string& path) {
  std::error_code ignored;
  std::ifstream file(path, std::ios::binary);
  if (!file || std::filesystem::is_directory(path, ignored))
    throw CommandError(ExitStatus::kBadInput, path + ": can't be read");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

node::Config LoadConfig(const std::string& file) {
  auto environment = node::EdgeEnvironment();
  const bool json = file.ends_with(".json");
  if (json) environment["EDGE_CONFIG"] = file;
  try {
    config::Sources sources = node::ReadSources(environment, json ? "" : file);
    node::LoadLastGoodAsInForce(sources);
    return node::MakeConfig(sources);
  } catch (const node::ConfigError& error) {
    throw CommandError(ExitStatus::kBadInput, error.what());
  }
}

void ControlTarget::AddOptionsTo(CLI::App& command) {
  command.add_option("--socket", socket, "The node's control socket");
  command.add_option("--config", file, "The operator's file, which names folder and socket");
}

std::string ControlTarget::SocketPath() const {
  if (!socket.empty()) return socket;
  if (!file.empty()) {
    const node::Config config = LoadConfig(file);
    if (config.control_socket.empty())
      throw CommandError(ExitStatus::kBadInput, file + ": control.socket names no socket");
    return config.state_folder + "/" + config.control_socket;
  }
  const auto environment = node::EdgeEnvironment();
  const auto state = environment.find("EDGE_STATE");
  if (state != environment.end()) return state->second + "/" + kDefaultSocketName;
  throw CommandError(ExitStatus::kBadInput,
                     "which node? Give --socket PATH or --config FILE, or set EDGE_STATE");
}

nlohmann::json SendRequest(const std::string& socket_path, const nlohmann::json& request) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (socket_path.size() >= sizeof address.sun_path)
    throw CommandError(ExitStatus::kBadInput, socket_path + ": is too long");
  std::memcpy(address.sun_path, socket_path.data(), socket_path.size());
  const base::Descriptor connection(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (connect(connection.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw CommandError(ExitStatus::kFailed, fmt::format("{}: {}; does the node run, with control.socket set?",
                                                        socket_path, std::strerror(errno)));
  }
  const std::string line = request.dump() + "\n";
  for (std::size_t sent = 0; sent < line.size();) {
    const ssize_t written = send(connection.get(), line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
    if (written <= 0)
      throw CommandError(ExitStatus::kFailed, socket_path + ": the node closed the connection");
    sent += static_cast<std::size_t>(written);
  }
  // A queued change is answered once it is in force, which takes as long as the trial before it.
  const bool queued = request.value("wait", false);
  const auto end = std::chrono::steady_clock::now() + (queued ? std::chrono::hours(1) : kAnswerTimeout);
  std::string answer;
  while (answer.find('\n') == std::string::npos) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    pollfd ready{connection.get(), POLLIN, 0};
    if (left.count() <= 0 || poll(&ready, 1, static_cast<int>(left.count())) == 0) {
      throw CommandError(ExitStatus::kFailed, socket_path + ": no answer in time");
    }
    char block[65536];
    const ssize_t count = recv(connection.get(), block, sizeof block, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) throw CommandError(ExitStatus::kFailed, socket_path + ": the node closed the connection");
    answer.append(block, static_cast<std::size_t>(count));
    if (answer.size() > kMaxAnswerBytes)
      throw CommandError(ExitStatus::kFailed, socket_path + ": the answer is longer than 16 MiB");
  }
  auto parsed = nlohmann::json::parse(answer.substr(0, answer.find('\n')), nullptr, false);
  if (!parsed.is_object())
    throw CommandError(ExitStatus::kFailed, socket_path + ": the answer can't be read");
  return parsed;
}

std::string CurrentUser() {
  const passwd* entry = getpwuid(getuid());  // NOLINT(concurrency-mt-unsafe): one thread
  return entry != nullptr ? entry->pw_name : fmt::format("uid {}", getuid());
}

std::string FormatTime(std::int64_t millis) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", fmt::gmtime(static_cast<std::time_t>(millis / 1000)));
}

}  // namespace indigosaddle::cli

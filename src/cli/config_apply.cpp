#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <thread>

#include "cli/cli.h"

namespace indigosaddle::cli {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(200);

// Waits for the end of a generation's trial, showing the time left on a terminal, and prints how it ended.
// Throws CommandError if the change was rolled back.
void FollowTrial(const std::string& socket, std::uint64_t number) {
  while (true) {
    const nlohmann::json history = SendRequest(socket, {{"op", "history"}});
    for (const auto& generation : history.at("generations")) {
      if (generation.at("generation") != number || generation.at("result") == "on trial") continue;
      const std::string text =
          fmt::format("generation {} {}: {}", number, generation.at("result").get<std::string>(),
                      generation.at("why").get<std::string>());
      if (generation.at("result") == "undone") throw CommandError(ExitStatus::kFailed, text);
      return fmt::print("{}\n", text);
    }
    if (isatty(STDERR_FILENO) != 0) {
      const auto status = SendRequest(socket, {{"op", "status"}});
      fmt::print(stderr, "\rgeneration {} on trial, {:.0f} s left ", number,
                 status.at("configuration").at("trial_left_ms").get<double>() / 1000);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

void AddConfigApply(CLI::App& config) {
  auto* command = config.add_subcommand("apply", "Applies a file to the running node, on trial");
  command->footer(
      "Example:\n  indigosaddle config apply new.toml --reason \"more room for Friday\" --follow\n"
      "The node checks the whole first, applies it all at once, and undoes it by itself if it makes things "
      "worse.");
  struct Options {
    std::string file, author, reason;
    ControlTarget target;
    bool wait = false, follow = false, json = false;
  };
  auto options = std::make_shared<Options>();
  command->add_option("FILE", options->file, "The file")->required();
  options->target.AddOptionsTo(*command);
  command->add_option("--author", options->author, "Who makes the change (default: the user)");
  command->add_option("--reason", options->reason, "Why, for the history");
  command->add_flag("--wait", options->wait, "Queue behind a trial instead of being refused");
  command->add_flag("--follow", options->follow, "Wait until it is kept or undone; status 1 if undone");
  command->add_flag("--json", options->json, "The answer as JSON");
  command->callback([options] {
    ControlTarget target = options->target;
    if (target.socket.empty() && target.file.empty()) target.file = options->file;
    LoadConfig(options->file);  // reports faults under the file's own name, before the node is asked
    const std::string socket = target.SocketPath();
    const auto answer =
        SendRequest(socket, {{"op", "apply"},
                             {"document", ReadFileText(options->file)},
                             {"author", options->author.empty() ? CurrentUser() : options->author},
                             {"reason", options->reason},
                             {"wait", options->wait}});
    const std::string text = answer.value("text", "");
    if (options->json) fmt::print("{}\n", answer.dump());
    if (!answer.value("ok", false)) throw CommandError(ExitStatus::kFailed, options->json ? "" : text);
    const std::uint64_t number = answer.value("generation", std::uint64_t{0});
    if (!options->json) fmt::print("generation {}: {}\n", number, text);
    if (options->follow && text != "nothing changes") FollowTrial(socket, number);
  });
}

}  // namespace indigosaddle::cli

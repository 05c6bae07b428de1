#include <fmt/format.h>

#include "cli/cli.h"
#include "config/store.h"

namespace indigosaddle::cli {

void AddConfigHistory(CLI::App& config) {
  auto* command = config.add_subcommand("history", "The last 20 generations of the configuration");
  command->footer(
      "Examples:\n  indigosaddle config history --config indigosaddle.toml\n"
      "  indigosaddle config history --state /var/lib/indigosaddle   (the node need not run)");
  struct Options {
    std::string state_folder;
    ControlTarget target;
    bool json = false;
  };
  auto options = std::make_shared<Options>();
  command->add_option("--state", options->state_folder,
                      "The state folder to read, instead of asking the node");
  options->target.AddOptionsTo(*command);
  command->add_flag("--json", options->json, "As JSON");
  command->callback([options] {
    nlohmann::json generations = nlohmann::json::array();
    if (options->state_folder.empty()) {
      generations = SendRequest(options->target.SocketPath(), {{"op", "history"}}).at("generations");
    } else {
      config::History history;
      std::string error;
      if (!config::Store(options->state_folder, 0).Load(history, error, false))
        throw CommandError(ExitStatus::kProblemFound, error);
      generations = config::HistoryAsJson(history);
    }
    if (options->json) return fmt::print("{}\n", generations.dump(2));
    for (const auto& generation : generations) {
      fmt::print("{:>4}  {}  {:<8}  {:<12}  {}\n      {}\n", generation["generation"].get<std::uint64_t>(),
                 FormatTime(generation["at_ms"].get<std::int64_t>()), generation["result"].get<std::string>(),
                 generation["author"].get<std::string>(), generation["reason"].get<std::string>(),
                 generation["why"].get<std::string>());
    }
  });
}

}  // namespace indigosaddle::cli

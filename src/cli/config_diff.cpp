#include <fmt/format.h>

#include "cli/cli.h"

namespace indigosaddle::cli {

void AddConfigDiff(CLI::App& config) {
  auto* command = config.add_subcommand("diff", "What a file would change, value by value");
  command->footer(
      "Examples:\n  indigosaddle config diff new.toml --against old.toml\n"
      "  indigosaddle config diff new.toml            (against the running node)");
  struct Options {
    std::string file, against;
    ControlTarget target;
    bool json = false;
  };
  auto options = std::make_shared<Options>();
  command->add_option("FILE", options->file, "The file")->required();
  command->add_option("--against", options->against, "Another file, instead of the running node");
  options->target.AddOptionsTo(*command);
  command->add_flag("--json", options->json, "As JSON");
  command->callback([options] {
    const std::vector<config::Shown> after = LoadConfig(options->file).shown;
    std::vector<config::Shown> before;
    if (!options->against.empty()) {
      before = LoadConfig(options->against).shown;
    } else {
      ControlTarget target = options->target;
      if (target.socket.empty() && target.file.empty()) target.file = options->file;
      const nlohmann::json running = SendRequest(target.SocketPath(), {{"op", "show"}});
      for (const auto& value : running.at("values")) {
        before.push_back({value.at("path"), value.at("value"), value.at("from"), config::Change::kRunning});
      }
    }
    nlohmann::json differences = nlohmann::json::array();
    for (const config::Difference& difference : config::Differences(before, after)) {
      const config::Item* item = config::Find(difference.path);
      const bool restart = item != nullptr ? item->change == config::Change::kRestart
                                           : difference.change == config::Change::kRestart;
      if (options->json) {
        differences.push_back({{"path", difference.path},
                               {"before", difference.before},
                               {"after", difference.after},
                               {"restart", restart}});
      } else {
        fmt::print("{}: {} -> {}{}\n", difference.path, difference.before, difference.after,
                   restart ? "  (with a restart)" : "");
      }
    }
    if (options->json) fmt::print("{}\n", differences.dump(2));
  });
}

}  // namespace indigosaddle::cli

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
    const std::vector<config::ShownValue> after = LoadConfig(options->file).shown;
    std::vector<config::ShownValue> before;
    if (!options->against.empty()) {
      before = LoadConfig(options->against).shown;
    } else {
      ControlTarget target = options->target;
      if (target.socket.empty() && target.file.empty()) target.file = options->file;
      const nlohmann::json running = SendRequest(target.SocketPath(), {{"op", "show"}});
      for (const auto& value : running.at("values")) {
        before.push_back(
            {value.at("path"), value.at("value"), value.at("from"), config::TakesEffect::kWhileRunning});
      }
    }
    nlohmann::json differences = nlohmann::json::array();
    for (const config::Difference& difference : config::Differences(before, after)) {
      const config::Setting* item = config::FindSetting(difference.path);
      const bool restart = item != nullptr ? item->takes_effect == config::TakesEffect::kAtRestart
                                           : difference.takes_effect == config::TakesEffect::kAtRestart;
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

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
    Target target;
    bool json = false;
  };
  auto options = std::make_shared<Options>();
  command->add_option("FILE", options->file, "The file")->required();
  command->add_option("--against", options->against, "Another file, instead of the running node");
  options->target.AddTo(*command);
  command->add_flag("--json", options->json, "As JSON");
  command->callback([options] {
    const std::vector<config::ShownValue> after = ConfigOf(options->file).shown;
    std::vector<config::ShownValue> before;
    if (!options->against.empty()) {
      before = ConfigOf(options->against).shown;
    } else {
      Target target = options->target;
      if (target.socket.empty() && target.file.empty()) target.file = options->file;
      const nlohmann::json running = Ask(target.Path(), {{"op", "show"}});
      for (const auto& one : running.at("values")) {
        before.push_back(
            {one.at("path"), one.at("value"), one.at("from"), config::TakesEffect::kWhileRunning});
      }
    }
    nlohmann::json all = nlohmann::json::array();
    for (const config::Difference& d : config::Differences(before, after)) {
      const config::Setting* item = config::FindSetting(d.path);
      const bool restart = item != nullptr ? item->takes_effect == config::TakesEffect::kAtRestart
                                           : d.takes_effect == config::TakesEffect::kAtRestart;
      if (options->json) {
        all.push_back({{"path", d.path}, {"before", d.before}, {"after", d.after}, {"restart", restart}});
      } else {
        fmt::print("{}: {} -> {}{}\n", d.path, d.before, d.after, restart ? "  (with a restart)" : "");
      }
    }
    if (options->json) fmt::print("{}\n", all.dump(2));
  });
}

}  // namespace indigosaddle::cli

#include <fmt/format.h>

#include <algorithm>

#include "cli/cli.h"

namespace indigosaddle::cli {

void AddConfigShow(CLI::App& config) {
  auto* command = config.add_subcommand("show", "Every value, with where it came from");
  command->footer(
      "Examples:\n  indigosaddle config show indigosaddle.toml\n"
      "  indigosaddle config show --running --config indigosaddle.toml");
  struct Options {
    std::string file;
    Target target;
    bool running = false, json = false;
  };
  auto options = std::make_shared<Options>();
  command->add_option("FILE", options->file, "The file; without one, what EDGE_CONFIG names");
  command->add_flag("--running", options->running, "Of the running node, by its control socket");
  options->target.AddTo(*command);
  command->add_flag("--json", options->json, "As JSON");
  command->callback([options] {
    nlohmann::json values = nlohmann::json::array();
    if (options->running) {
      values = Ask(options->target.Path(), {{"op", "show"}}).at("values");
    } else {
      const std::string file = options->file.empty() ? options->target.file : options->file;
      for (const config::ShownValue& shown : ConfigOf(file).shown) {
        values.push_back({{"path", shown.path}, {"value", shown.value}, {"from", shown.source}});
      }
    }
    if (options->json) return fmt::print("{}\n", values.dump(2));
    std::size_t widest = 0, longest = 0;
    for (const auto& one : values) {
      widest = std::max(widest, one["path"].get<std::string>().size());
      longest = std::max(longest, std::min<std::size_t>(40, one["value"].get<std::string>().size()));
    }
    for (const auto& one : values) {
      fmt::print("{:<{}}  {:<{}}  {}\n", one["path"].get<std::string>(), widest,
                 one["value"].get<std::string>(), longest, one["from"].get<std::string>());
    }
  });
}

}  // namespace indigosaddle::cli

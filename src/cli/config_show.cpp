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
    ControlTarget target;
    bool running = false, json = false;
  };
  auto options = std::make_shared<Options>();
  command->add_option("FILE", options->file, "The file; without one, what EDGE_CONFIG names");
  command->add_flag("--running", options->running,
                    "Show the values of the running node, asked through its control socket");
  options->target.AddOptionsTo(*command);
  command->add_flag("--json", options->json, "As JSON");
  command->callback([options] {
    nlohmann::json values = nlohmann::json::array();
    if (options->running) {
      values = SendRequest(options->target.SocketPath(), {{"op", "show"}}).at("values");
    } else {
      const std::string file = options->file.empty() ? options->target.file : options->file;
      for (const config::ShownValue& shown : LoadConfig(file).shown) {
        values.push_back({{"path", shown.path}, {"value", shown.value}, {"from", shown.source}});
      }
    }
    if (options->json) return fmt::print("{}\n", values.dump(2));
    std::size_t path_width = 0;
    std::size_t value_width = 0;  // at most 40: longer values are not aligned
    for (const auto& value : values) {
      path_width = std::max(path_width, value["path"].get<std::string>().size());
      value_width =
          std::max(value_width, std::min<std::size_t>(40, value["value"].get<std::string>().size()));
    }
    for (const auto& value : values) {
      fmt::print("{:<{}}  {:<{}}  {}\n", value["path"].get<std::string>(), path_width,
                 value["value"].get<std::string>(), value_width, value["from"].get<std::string>());
    }
  });
}

}  // namespace indigosaddle::cli

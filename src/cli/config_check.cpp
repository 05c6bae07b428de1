#include <fmt/format.h>

#include "cli/cli.h"

namespace indigosaddle::cli {

void AddConfigCheck(CLI::App& config) {
  auto* command =
      config.add_subcommand("check", "Says everything that is wrong with a file; changes nothing");
  command->footer(
      "Example:\n  indigosaddle config check indigosaddle.toml\n"
      "A file that ends in .json is read as the platform's. EDGE_ variables count as they do for the node.");
  auto file = std::make_shared<std::string>();
  auto json = std::make_shared<bool>(false);
  command->add_option("FILE", *file, "The file")->required();
  command->add_flag("--json", *json, "The result as JSON");
  command->callback([file, json] {
    std::string faults;
    try {
      LoadConfig(*file);
    } catch (const CommandError& error) {
      faults = error.what();
    }
    if (*json) {
      nlohmann::json lines = nlohmann::json::array();
      for (std::size_t start = 0; start < faults.size();) {
        const std::size_t end = std::min(faults.find('\n', start), faults.size());
        lines.push_back(faults.substr(start, end - start));
        start = end + 1;
      }
      fmt::print("{}\n", nlohmann::json{{"ok", faults.empty()}, {"faults", lines}}.dump());
    } else if (faults.empty()) {
      fmt::print("{}: can be used\n", *file);
    } else {
      fmt::print(stderr, "{}\n", faults);
    }
    if (!faults.empty()) throw CommandError(ExitStatus::kBadInput, "");
  });
}

}  // namespace indigosaddle::cli

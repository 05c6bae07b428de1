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
    std::string state;
    Target target;
    bool json = false;
  };
  auto options = std::make_shared<Options>();
  command->add_option("--state", options->state, "The state folder, read as it stands");
  options->target.AddTo(*command);
  command->add_flag("--json", options->json, "As JSON");
  command->callback([options] {
    nlohmann::json all = nlohmann::json::array();
    if (options->state.empty()) {
      all = Ask(options->target.Path(), {{"op", "history"}}).at("generations");
    } else {
      config::History history;
      std::string trouble;
      if (!config::Store(options->state, 0).Load(history, trouble, false))
        throw Failure(Exit::kFound, trouble);
      all = config::HistoryAsJson(history);
    }
    if (options->json) return fmt::print("{}\n", all.dump(2));
    for (const auto& one : all) {
      fmt::print("{:>4}  {}  {:<8}  {:<12}  {}\n      {}\n", one["generation"].get<std::uint64_t>(),
                 TimeOf(one["at_ms"].get<std::int64_t>()), one["result"].get<std::string>(),
                 one["author"].get<std::string>(), one["reason"].get<std::string>(),
                 one["why"].get<std::string>());
    }
  });
}

}  // namespace indigosaddle::cli

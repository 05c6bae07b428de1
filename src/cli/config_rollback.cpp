#include <fmt/format.h>

#include "cli/cli.h"

namespace indigosaddle::cli {

void AddConfigRollback(CLI::App& config) {
  auto* command =
      config.add_subcommand("rollback", "Undoes the change on trial, or goes back to an older generation");
  command->footer(
      "Examples:\n  indigosaddle config rollback --config indigosaddle.toml\n"
      "  indigosaddle config rollback --to 12 --config indigosaddle.toml");
  struct Options {
    std::uint64_t generation = 0;  // 0: not given
    std::string author, reason;
    ControlTarget target;
  };
  auto options = std::make_shared<Options>();
  command->add_option(
      "--to", options->generation,
      "The generation to go back to (default: undoes the change on trial, else the previous accepted one)");
  options->target.AddOptionsTo(*command);
  command->add_option("--author", options->author, "Who asks (default: the user)");
  command->add_option("--reason", options->reason, "Why, for the history");
  command->callback([options] {
    const auto answer = SendRequest(options->target.SocketPath(),
                                    {{"op", "rollback"},
                                     {"generation", options->generation},
                                     {"author", options->author.empty() ? CurrentUser() : options->author},
                                     {"reason", options->reason}});
    const std::string text = answer.value("text", "");
    if (!answer.value("ok", false)) throw CommandError(ExitStatus::kFailed, text);
    fmt::print("generation {}: {}\n", answer.value("generation", std::uint64_t{0}), text);
  });
}

}  // namespace indigosaddle::cli

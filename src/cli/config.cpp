#include "cli/cli.h"

namespace indigosaddle::cli {

void AddConfig(CLI::App& parent) {
  auto* config = parent.add_subcommand("config", "Checks, shows and changes the configuration");
  config->footer(
      "Examples:\n  indigosaddle config check indigosaddle.toml\n"
      "  indigosaddle config apply indigosaddle.toml --reason \"more room for Friday\"");
  config->require_subcommand(1);
  AddConfigCheck(*config);
  AddConfigShow(*config);
  AddConfigSchema(*config);
  AddConfigDiff(*config);
  AddConfigApply(*config);
  AddConfigHistory(*config);
  AddConfigRollback(*config);
}

}  // namespace indigosaddle::cli

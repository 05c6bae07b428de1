#include <fmt/format.h>

#include "cli/cli.h"
#include "config/schema.h"

namespace indigosaddle::cli {

void AddConfigSchema(CLI::App& config) {
  auto* command =
      config.add_subcommand("schema", "The operator's file as a JSON Schema, for editors and checks");
  command->footer("Example:\n  indigosaddle config schema > indigosaddle.schema.json");
  command->callback([] { fmt::print("{}", config::JsonSchema()); });
}

}  // namespace indigosaddle::cli

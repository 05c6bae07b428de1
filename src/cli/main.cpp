#include <fmt/format.h>

#include <cstdio>
#include <exception>

#include "base/version.h"
#include "cli/cli.h"

namespace {

using indigosaddle::cli::ExitStatus;

// Prints the message, unless it is empty, and returns the exit status as a number.
int Report(ExitStatus status, const char* text) {
  if (text[0] != '\0') fmt::print(stderr, "indigosaddle: {}\n", text);
  return static_cast<int>(status);
}

}  // namespace

int main(int argc, char** argv) {
  namespace cli = indigosaddle::cli;
  try {
    if (argc == 1) {  // the platform starts the program without arguments
      cli::Serve("", "");
      return 0;
    }
    CLI::App app(
        "Delivers messages to other firms' systems; without a command it serves as EDGE_CONFIG says.",
        "indigosaddle");
    app.set_version_flag("--version", std::string("indigosaddle ") + indigosaddle::base::kVersion);
    app.footer(
        "Examples:\n  indigosaddle serve --config indigosaddle.toml\n"
        "  indigosaddle config check indigosaddle.toml\n  indigosaddle status --config indigosaddle.toml\n"
        "Exit status: 0 done, 1 it could not be done, 2 the input is wrong, 3 a check found something.");
    // `indigosaddle --config FILE` is short for `indigosaddle serve --config FILE`.
    std::string file;
    app.add_option("--config", file, "The operator's file (TOML); serves with it");
    app.require_subcommand(0, 1);
    cli::AddServe(app);
    cli::AddConfig(app);
    cli::AddJournal(app);
    cli::AddStatus(app);
    cli::AddDocs(app);
    try {
      app.parse(argc, argv);
      if (app.get_subcommands().empty()) cli::Serve(file, "");
    } catch (const CLI::ParseError& error) {
      return app.exit(error) == 0 ? 0 : static_cast<int>(ExitStatus::kBadInput);
    }
    return 0;
  } catch (const cli::CommandError& error) {
    return Report(error.status(), error.what());
  } catch (const std::exception& error) {
    return Report(ExitStatus::kFailed, error.what());
  }
}

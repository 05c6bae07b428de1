#include <fmt/format.h>

#include "base/log_events.h"
#include "cli/cli.h"
#include "config/schema.h"

namespace indigosaddle::cli {
namespace {

// The text of docs/logging.md.
std::string LoggingPage() {
  std::string page =
      "# Logging\n\n"
      "Made from the event table in `src/base/log_events.h` by `indigosaddle docs logging`; do not edit.\n\n"
      "One line an event on standard error. With `log.format = \"text\"`: seconds since 1970, level, node, "
      "event, then\n"
      "`name=value`, in quotes where the value has spaces; with `\"json\"`: one object a line with `time`, "
      "`level`, `node`,\n"
      "`event` and the fields. Durations are in milliseconds. Of one event at most `log.lines_per_second` "
      "lines are\n"
      "written in a second; what is held back is counted in `log.held_back`. A reader that stops reading "
      "holds nothing\n"
      "up: 256 KiB of lines wait for it, the rest is counted in `log.dropped`.\n";
  base::ForEachEvent([&]<base::FieldType... Types>(const base::Event<Types...>& event) {
    page += fmt::format("\n## `{}` ({})\n\n{}\n\n| field | type | what |\n| --- | --- | --- |\n", event.name,
                        base::NameOf(event.level), event.description);
    std::size_t i = 0;
    ((page += fmt::format("| `{}` | {} | {} |\n", event.fields[i].name, base::NameOf(Types),
                          event.fields[i].description),
      ++i),
     ...);
  });
  return page;
}

}  // namespace

void AddDocs(CLI::App& parent) {
  auto* docs =
      parent.add_subcommand("docs", "Pages of the documentation that are made from the program's own tables");
  docs->require_subcommand(1);
  docs->footer("Example:\n  indigosaddle docs configuration > docs/configuration.md");
  docs->add_subcommand("configuration", "docs/configuration.md")->callback([] {
    fmt::print("{}", config::ConfigurationPage());
  });
  docs->add_subcommand("logging", "docs/logging.md")->callback([] { fmt::print("{}", LoggingPage()); });
}

}  // namespace indigosaddle::cli

#include <fmt/format.h>

#include "cli/cli.h"

namespace indigosaddle::cli {

void AddStatus(CLI::App& parent) {
  auto* command = parent.add_subcommand("status", "What the running node holds and does");
  command->footer("Example:\n  indigosaddle status --config indigosaddle.toml --json");
  auto target = std::make_shared<Target>();
  auto json = std::make_shared<bool>(false);
  target->AddTo(*command);
  command->add_flag("--json", *json, "As JSON");
  command->callback([target, json] {
    const auto status = Ask(target->Path(), {{"op", "status"}});
    if (*json) return fmt::print("{}\n", status.dump(2));
    const auto& c = status.at("configuration");
    const auto& m = status.at("messages");
    const auto number = [](const nlohmann::json& at, const char* name) {
      return at.at(name).get<std::uint64_t>();
    };
    fmt::print("{} {}, process {}, serves on {} for {:.0f} s, {}{}\n", status.at("name").get<std::string>(),
               status.at("version").get<std::string>(), number(status, "pid"),
               status.at("address").get<std::string>(), status.at("serving_ms").get<double>() / 1000,
               status.at("state").get<std::string>(),
               status.at("waits_to_take_over").get<bool>() ? ", waits to take over" : "");
    fmt::print("configuration: generation {}", number(c, "generation"));
    if (c.at("on_trial").get<bool>())
      fmt::print(" on trial for {:.1f} s more", c.at("trial_left_ms").get<double>() / 1000);
    fmt::print(", {} changes wait\n", number(c, "waiting"));
    fmt::print("files at SIGHUP: {} taken, {} refused; platform's document in force: {}\n",
               number(c, "taken"), number(c, "refused"), c.at("platform_document").get<std::string>());
    if (const auto why = c.at("last_refusal").get<std::string>(); !why.empty())
      fmt::print("last refused: {}\n", why);
    fmt::print(
        "messages: {} held, {} notices owed; {} taken, {} delivered, {} returned, {} failed, {} busy\n",
        number(m, "open"), number(m, "notices"), number(m, "taken"), number(m, "delivered"),
        number(m, "returned"), number(m, "given_up"), number(m, "busy"));
    for (const auto& [name, figures] : status.at("classes").items()) {
      fmt::print("class {}: {} completed, {} rejected, {} failed\n", name, number(figures, "completed"),
                 number(figures, "rejected"), number(figures, "failed"));
    }
    if (const auto& w = status.at("watch"); !w.is_null()) {
      const auto& o = w.at("otherwise");
      fmt::print(
          "watch: of {} messages the watched settings would have sent {}, sent to another endpoint {}, "
          "refused {}, failed {}, held {}\n",
          number(w, "messages"), number(o, "sent"), number(o, "other_endpoint"), number(o, "refused"),
          number(o, "failed"), number(o, "waited"));
    }
    fmt::print("clients: {} of {}; connections to endpoints: {} of {}\n", number(status.at("clients"), "now"),
               number(status.at("clients"), "most"), number(status.at("calls"), "connections"),
               number(status.at("calls"), "most"));
    fmt::print("journal: {} of {} bytes{}\n", number(status.at("journal"), "bytes"),
               number(status.at("journal"), "room"),
               status.at("journal").at("writable").get<bool>() ? "" : ", CAN'T BE WRITTEN");
    fmt::print("log: {} lines, {} lost\n", number(status.at("log"), "lines"),
               number(status.at("log"), "dropped"));
  });
}

}  // namespace indigosaddle::cli

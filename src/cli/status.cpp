#include <fmt/format.h>

#include <cstdint>
#include <string>

#include "cli/cli.h"

namespace indigosaddle::cli {

namespace {

// Where the list of endpoints comes from and whether it may still be used. `list`: that part of the status.
std::string DescribeList(const nlohmann::json& list) {
  std::string text = fmt::format("list: from {}", list.at("address").get<std::string>());
  if (const auto next = list.at("next_address").get<std::string>(); !next.empty())
    text += fmt::format(", asked for at {}", next);
  if (list.at("valid_for_ms").is_null()) return text;
  text += list.at("outdated").get<bool>()
              ? "; OUTDATED, NOTHING NEW IS SENT"
              : fmt::format("; used for {} ms more", list.at("valid_for_ms").get<std::int64_t>());
  return text + fmt::format(": {} sends no list ({})", list.at("limited_by").get<std::string>(),
                            list.at("failure").get<std::string>());
}

}  // namespace

void AddStatus(CLI::App& parent) {
  auto* command = parent.add_subcommand("status", "Shows the state and the counters of the running node");
  command->footer("Example:\n  indigosaddle status --config indigosaddle.toml --json");
  auto target = std::make_shared<ControlTarget>();
  auto json = std::make_shared<bool>(false);
  target->AddOptionsTo(*command);
  command->add_flag("--json", *json, "As JSON");
  command->callback([target, json] {
    const auto status = SendRequest(target->SocketPath(), {{"op", "status"}});
    if (*json) return fmt::print("{}\n", status.dump(2));
    const auto& configuration = status.at("configuration");
    const auto& messages = status.at("messages");
    const auto number = [](const nlohmann::json& object, const char* name) {
      return object.at(name).get<std::uint64_t>();
    };
    fmt::print("{} {}, process {}, serves on {} for {:.0f} s, {}{}\n", status.at("name").get<std::string>(),
               status.at("version").get<std::string>(), number(status, "pid"),
               status.at("address").get<std::string>(), status.at("serving_ms").get<double>() / 1000,
               status.at("state").get<std::string>(),
               status.at("waits_to_take_over").get<bool>() ? ", waits to take over" : "");
    fmt::print("configuration: generation {}", number(configuration, "generation"));
    if (configuration.at("on_trial").get<bool>())
      fmt::print(" on trial for {:.1f} s more", configuration.at("trial_left_ms").get<double>() / 1000);
    fmt::print(", {} changes wait\n", number(configuration, "waiting"));
    fmt::print("files at SIGHUP: {} taken, {} refused; platform's document in force: {}\n",
               number(configuration, "taken"), number(configuration, "refused"),
               configuration.at("platform_document").get<std::string>());
    if (const auto why = configuration.at("last_refusal").get<std::string>(); !why.empty())
      fmt::print("last refused: {}\n", why);
    fmt::print("{}\n", DescribeList(status.at("list")));
    fmt::print(
        "messages: {} held, {} notices owed; {} taken, {} delivered, {} returned, {} failed, {} busy\n",
        number(messages, "open"), number(messages, "notices"), number(messages, "taken"),
        number(messages, "delivered"), number(messages, "returned"), number(messages, "given_up"),
        number(messages, "busy"));
    for (const auto& [name, figures] : status.at("classes").items()) {
      fmt::print("class {}: {} completed, {} rejected, {} failed\n", name, number(figures, "completed"),
                 number(figures, "rejected"), number(figures, "failed"));
    }
    if (const auto& watch = status.at("watch"); !watch.is_null()) {
      const auto& otherwise = watch.at("otherwise");
      fmt::print(
          "watch: of {} messages the watched settings would have sent {}, sent to another endpoint {}, "
          "refused {}, failed {}, held {}\n",
          number(watch, "messages"), number(otherwise, "sent"), number(otherwise, "other_endpoint"),
          number(otherwise, "refused"), number(otherwise, "failed"), number(otherwise, "waited"));
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

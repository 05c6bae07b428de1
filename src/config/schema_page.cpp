// The schema's table as a JSON Schema and as the operators' page.
#include <fmt/format.h>

#include "config/schema.h"
#include "config/units.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

std::string TypeName(Type type) {
  switch (type) {
    case Type::kText: return "text";
    case Type::kAddress: return "address";
    case Type::kWord: return "word";
    case Type::kFlag: return "true or false";
    case Type::kInteger: return "whole number";
    case Type::kNumber: return "number";
    case Type::kDuration: return "duration";
    case Type::kBytes: return "size";
  }
  return "?";
}

}  // namespace

std::string JsonSchema() {
  json root = {{"$schema", "https://json-schema.org/draft/2020-12/schema"},
               {"title", "indigosaddle: the operator's configuration"},
               {"type", "object"},
               {"additionalProperties", false},
               {"properties", json::object()}};
  const auto whole = [](double value) { return static_cast<std::int64_t>(value); };
  for (const Item& item : Schema()) {
    const std::string_view path = item.path;
    const std::size_t dot = path.rfind('.');
    std::string_view section = path.substr(0, dot);
    json value = {{"description", std::string(item.about) + " When to touch it: " + item.touch}};
    switch (item.type) {
      case Type::kText:
        value.update({{"type", "string"}, {"minLength", whole(item.least)}, {"maxLength", whole(item.most)}});
        break;
      case Type::kAddress: value.update({{"type", "string"}, {"pattern", "^.+:[0-9]+$"}}); break;
      case Type::kWord: {
        json words = json::array();
        EachWord(item.words,
                 [&](std::string_view ours, std::string_view) { words.push_back(std::string(ours)); });
        value["enum"] = words;
        break;
      }
      case Type::kFlag: value["type"] = "boolean"; break;
      case Type::kInteger:
        value.update({{"type", "integer"}, {"minimum", whole(item.least)}, {"maximum", whole(item.most)}});
        break;
      case Type::kNumber:
        value.update({{"type", "number"}, {"minimum", item.least}, {"maximum", item.most}});
        break;
      case Type::kDuration:
        value.update({{"type", "string"}, {"pattern", "^[0-9.]+ ?(us|ms|s|m|h)$"}});
        break;
      case Type::kBytes:
        value.update({{"type", "string"}, {"pattern", "^[0-9.]+ ?(B|kB|MB|GB|KiB|MiB|GiB)$"}});
        break;
    }
    if (item.absent[0] != '\0') value["default"] = item.absent;
    value["x-changes"] = item.change == Change::kRunning ? "while running" : "with a restart";
    const bool list = section.ends_with("[]");
    if (list) section.remove_suffix(2);
    json& place = root["properties"][std::string(section)];
    if (place.is_null()) {
      const json table = {
          {"type", "object"}, {"additionalProperties", false}, {"properties", json::object()}};
      place = list ? json{{"type", "array"}, {"items", table}} : table;
    }
    (list ? place["items"] : place)["properties"][std::string(path.substr(dot + 1))] = value;
  }
  return root.dump(2) + "\n";
}

std::string Page() {
  std::string page =
      "# Configuration\n\n"
      "Made from the schema table in `src/config/schema.cpp` by `indigosaddle docs configuration`; do not "
      "edit.\n\n"
      "The operator's file is TOML, named by `--config`; `deploy/indigosaddle.toml` is one to start from. "
      "Values stand\n"
      "in this order, the later before the earlier: defaults, the operator's file, the platform's JSON "
      "(`EDGE_CONFIG`),\n"
      "the `EDGE_` variables; an address of discovery in the platform's JSON goes before `EDGE_DISCOVERY`. "
      "Lists are\n"
      "taken whole from the last place that has them. Without an operator's file the platform's JSON must "
      "say all that\n"
      "it has to, and the defaults of the tables `delivery` and `return` are not used.\n\n"
      "Durations are a number with `us`, `ms`, `s`, `m` or `h`; sizes one with `B`, `kB`, `MB`, `GB`, `KiB`, "
      "`MiB` or\n"
      "`GiB`; both in quotes. *running*: `config apply` and SIGHUP may change it while the node serves; "
      "*restart*: such\n"
      "a change is refused whole, and the next start takes it from the file.\n";
  std::string section;
  for (const Item& item : Schema()) {
    const std::string_view path = item.path;
    const std::string now(path.substr(0, path.rfind('.')));
    if (now != section) {
      section = now;
      const bool list = section.ends_with("[]");
      const std::string head =
          list ? "[[" + section.substr(0, section.size() - 2) + "]]" : "[" + section + "]";
      page += fmt::format(
          "\n## {}\n\n| name | value | default | changes | what | when to touch it |\n"
          "| --- | --- | --- | --- | --- | --- |\n",
          head);
    }
    std::string range = item.type == Type::kWord ? WordList(item.words) : TypeName(item.type);
    if (item.type == Type::kInteger) range += fmt::format(", {:.0f} to {:.0f}", item.least, item.most);
    if (item.type == Type::kNumber) range += fmt::format(", {} to {}", item.least, item.most);
    if (item.type == Type::kDuration) {
      range += fmt::format(", {} to {}", InUnit(item.least, kTimes), InUnit(item.most, kTimes));
    }
    if (item.type == Type::kBytes) {
      range += fmt::format(", {} to {}", InUnit(item.least, kSizes), InUnit(item.most, kSizes));
    }
    page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", path.substr(path.rfind('.') + 1), range,
                        item.absent[0] == '\0' ? "-" : fmt::format("`{}`", item.absent),
                        item.change == Change::kRunning ? "running" : "restart", item.about, item.touch);
  }
  return page;
}

}  // namespace indigosaddle::config

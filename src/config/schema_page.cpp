// Writes the table of settings as a JSON Schema and as the page docs/configuration.md.
#include <fmt/format.h>

#include "config/schema.h"
#include "config/units.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

std::string TypeName(ValueType type) {
  switch (type) {
    case ValueType::kText: return "text";
    case ValueType::kAddress: return "address";
    case ValueType::kChoice: return "word";
    case ValueType::kFlag: return "true or false";
    case ValueType::kInteger: return "whole number";
    case ValueType::kNumber: return "number";
    case ValueType::kDuration: return "duration";
    case ValueType::kBytes: return "size";
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
  const auto to_integer = [](double value) { return static_cast<std::int64_t>(value); };
  for (const Setting& setting : Schema()) {
    const std::string_view path = setting.path;
    const std::size_t dot = path.rfind('.');
    std::string_view section = path.substr(0, dot);
    json value = {
        {"description", std::string(setting.description) + " When to change it: " + setting.when_to_change}};
    switch (setting.type) {
      case ValueType::kText:
        value.update({{"type", "string"},
                      {"minLength", to_integer(setting.min)},
                      {"maxLength", to_integer(setting.max)}});
        break;
      case ValueType::kAddress: value.update({{"type", "string"}, {"pattern", "^.+:[0-9]+$"}}); break;
      case ValueType::kChoice: {
        json choices = json::array();
        ForEachChoice(setting.choices, [&](std::string_view file_word, std::string_view) {
          choices.push_back(std::string(file_word));
        });
        value["enum"] = choices;
        break;
      }
      case ValueType::kFlag: value["type"] = "boolean"; break;
      case ValueType::kInteger:
        value.update({{"type", "integer"},
                      {"minimum", to_integer(setting.min)},
                      {"maximum", to_integer(setting.max)}});
        break;
      case ValueType::kNumber:
        value.update({{"type", "number"}, {"minimum", setting.min}, {"maximum", setting.max}});
        break;
      case ValueType::kDuration:
        value.update({{"type", "string"}, {"pattern", "^[0-9.]+ ?(us|ms|s|m|h)$"}});
        break;
      case ValueType::kBytes:
        value.update({{"type", "string"}, {"pattern", "^[0-9.]+ ?(B|kB|MB|GB|KiB|MiB|GiB)$"}});
        break;
    }
    if (setting.default_text[0] != '\0') value["default"] = setting.default_text;
    value["x-changes"] =
        setting.takes_effect == TakesEffect::kWhileRunning ? "while running" : "with a restart";
    const bool list = section.ends_with("[]");
    if (list) section.remove_suffix(2);
    json& section_schema = root["properties"][std::string(section)];
    if (section_schema.is_null()) {
      const json table = {
          {"type", "object"}, {"additionalProperties", false}, {"properties", json::object()}};
      section_schema = list ? json{{"type", "array"}, {"items", table}} : table;
    }
    (list ? section_schema["items"] : section_schema)["properties"][std::string(path.substr(dot + 1))] =
        value;
  }
  return root.dump(2) + "\n";
}

std::string ConfigurationPage() {
  std::string page =
      "# Configuration\n\n"
      "Made from the schema table in `src/config/schema.cpp` by `indigosaddle docs configuration`; do not "
      "edit.\n\n"
      "The operator's file is TOML, named by `--config`; `deploy/indigosaddle.toml` is one to start from. "
      "A later source\n"
      "overrides an earlier one: defaults, the operator's file, the platform's JSON (`EDGE_CONFIG`), the "
      "`EDGE_`\n"
      "variables; but an address of discovery in the platform's JSON overrides `EDGE_DISCOVERY`. A list is "
      "taken whole\n"
      "from the last source that has it. Without an operator's file the platform's JSON must have all that "
      "is required,\n"
      "and the defaults of the tables `delivery` and `return` are not used.\n\n"
      "Durations are a number with `us`, `ms`, `s`, `m` or `h`; sizes one with `B`, `kB`, `MB`, `GB`, `KiB`, "
      "`MiB` or\n"
      "`GiB`; both in quotes. *running*: `config apply` and SIGHUP may change it while the node serves; "
      "*restart*: a change\n"
      "that includes such a value is refused as a whole, and the next start takes it from the file.\n";
  std::string section;
  for (const Setting& setting : Schema()) {
    const std::string_view path = setting.path;
    const std::string next_section(path.substr(0, path.rfind('.')));
    if (next_section != section) {
      section = next_section;
      const bool list = section.ends_with("[]");
      const std::string heading =
          list ? "[[" + section.substr(0, section.size() - 2) + "]]" : "[" + section + "]";
      page += fmt::format(
          "\n## {}\n\n| name | value | default | changes | what | when to change it |\n"
          "| --- | --- | --- | --- | --- | --- |\n",
          heading);
    }
    std::string values =
        setting.type == ValueType::kChoice ? ListChoices(setting.choices) : TypeName(setting.type);
    if (setting.type == ValueType::kInteger)
      values += fmt::format(", {:.0f} to {:.0f}", setting.min, setting.max);
    if (setting.type == ValueType::kNumber) values += fmt::format(", {} to {}", setting.min, setting.max);
    if (setting.type == ValueType::kDuration) {
      values += fmt::format(", {} to {}", FormatWithUnit(setting.min, kDurationUnits),
                            FormatWithUnit(setting.max, kDurationUnits));
    }
    if (setting.type == ValueType::kBytes) {
      values += fmt::format(", {} to {}", FormatWithUnit(setting.min, kSizeUnits),
                            FormatWithUnit(setting.max, kSizeUnits));
    }
    page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", path.substr(path.rfind('.') + 1), values,
                        setting.default_text[0] == '\0' ? "-" : fmt::format("`{}`", setting.default_text),
                        setting.takes_effect == TakesEffect::kWhileRunning ? "running" : "restart",
                        setting.description, setting.when_to_change);
  }
  return page;
}

}  // namespace indigosaddle::config

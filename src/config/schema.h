// The table of all settings: name, type, unit, range, default, whether a change takes effect while the node
// runs, and when an operator should change it. The checks, `config show`, `config schema` and
// docs/configuration.md are all made from this table. A setting that is not in it does not exist for
// operators.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigosaddle::config {

enum class ValueType : std::uint8_t { kText, kAddress, kChoice, kFlag, kInteger, kNumber, kDuration, kBytes };
// When a change of a setting takes effect.
enum class TakesEffect : std::uint8_t { kWhileRunning, kAtRestart };
// Whether the platform's document must have a value. For a setting in a list of tables: whether each table
// must.
enum class Presence : std::uint8_t { kOptional, kRequired, kRequiredIfKeyed };

// What a value in the platform's document must satisfy besides its type and its maximum.
struct PlatformRule {
  Presence presence = Presence::kOptional;
  bool must_be_positive = false;  // false: 0 is allowed too
};

// One row of the table. The platform's form counts durations in milliseconds and sizes in megabytes (10^6
// bytes).
struct Setting {
  const char* path;           // in the operator's file; "[]" stands for each table of a list
  const char* platform_path;  // in the platform's JSON; "[]" at the end: plain values, one for each table
  ValueType type;
  double min, max;           // durations in milliseconds, sizes in bytes, texts in characters
  const char* default_text;  // the default as it would be written in the file; empty: there is none
  TakesEffect takes_effect;
  const char* choices;  // for kChoice: "word in the file=word of the platform|..."; else empty
  const char* description;
  const char* when_to_change;
  PlatformRule platform_rule = {};
};

// All settings of the operator's file, section by section.
const std::vector<Setting>& Schema();
// The setting with a path such as "classes[].aim"; null where there is none.
const Setting* FindSetting(std::string_view path);

// The settings of the platform's document: those above without the operator's own part, and those that only
// the platform gives.
const std::vector<Setting>& PlatformSchema();

// A value in the form of the operator's file ("250ms"), from the platform's form. Does not check it.
std::string ToFileForm(const Setting& setting, const nlohmann::json& platform_value);
// A value in the platform's form, from that of the operator's file. Nothing where the value has another type,
// cannot be parsed or is out of range; the syntax of an address is not checked here.
std::optional<nlohmann::json> ToPlatformForm(const Setting& setting, const nlohmann::json& file_value);
// The default in the platform's form. The setting must have one.
nlohmann::json DefaultOf(const Setting& setting);
// The values that a setting takes, for a fault: "a duration in quotes from 1ms to 1h, such as \"250ms\" ...".
std::string DescribeExpected(const Setting& setting);

// The known name that is the fewest edits away from an unknown one; empty where none is near.
std::string NearestName(std::string_view name, const std::vector<std::string>& known_names);

std::string JsonSchema();         // a JSON Schema (draft 2020-12) of the operator's file as JSON
std::string ConfigurationPage();  // the text of docs/configuration.md

}  // namespace indigosaddle::config

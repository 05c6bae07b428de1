// The one table of all settings: name, type, unit, range, default, whether it may change while running, when
// to touch it. Checking, `config show`, `config schema` and docs/configuration.md are all made from it; a
// setting that is not in here does not exist for operators.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigosaddle::config {

enum class Type : std::uint8_t { kText, kAddress, kWord, kFlag, kInteger, kNumber, kDuration, kBytes };
enum class Change : std::uint8_t { kRunning, kRestart };
// Whether the platform's document must have a value. Within a table of a list: each table.
enum class Presence : std::uint8_t { kOptional, kRequired, kOfKeyedClass };

// What is asked of a value in the platform's document, beside its type and its most.
struct PlatformRule {
  Presence presence = Presence::kOptional;
  bool over_zero = false;  // else from 0 up
};

// `path` is the name in the operator's file; "[]" stands for each table of a list. `told` is where the
// platform's JSON has the same value; "[]" at its end: a list of plain values, one for each table. Numbers
// there are milliseconds for durations and millions of bytes for sizes.
struct Item {
  const char* path;
  const char* told;
  Type type;
  double least, most;  // durations in milliseconds, sizes in bytes, texts in characters
  const char* absent;  // the default, as it would be written; empty: none
  Change change;
  const char* words;  // for kWord: "ours=theirs|..."; else empty
  const char* about;
  const char* touch;  // when to touch it
  PlatformRule platform = {};
};

const std::vector<Item>& Schema();
const Item* Find(std::string_view path);  // "classes[].aim"; null: unknown

// What the platform's document may hold: the items above without the operator's own part, and what the
// platform alone tells.
const std::vector<Item>& PlatformSchema();

// The form of a value as the file has it ("250ms"), from the platform's form, and back. Parse gives nothing
// where the text is no such value; ranges are not looked at.
std::string Show(const Item& item, const nlohmann::json& told);
std::optional<nlohmann::json> ToTold(const Item& item, const nlohmann::json& written);
nlohmann::json DefaultOf(const Item& item);  // in the platform's form, of an item that has one
std::string Expected(const Item& item);      // "a duration from 1ms to 1h, such as \"250ms\""

// The known names nearest to one that is not: empty where none is near.
std::string Nearest(std::string_view name, const std::vector<std::string>& known);

std::string JsonSchema();  // draft 2020-12, of the operator's file as JSON
std::string Page();        // docs/configuration.md

}  // namespace indigosaddle::config

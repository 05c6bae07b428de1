// Reads the operator's configuration file: takes TOML and returns its values in the form of the platform's
// JSON, with the location of every value in the file, or every fault at once. Does no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace indigosaddle::config {

// A position in a text file.
struct SourceLocation {
  std::size_t line = 0, column = 0;  // both count from 1; 0: the location is not known
};

// One error in a source of the configuration.
struct ConfigFault {
  std::string file;  // the file's name, or a name for the other source that the value came from
  SourceLocation location;
  std::string path;     // of the setting, such as "classes[1].aim"; empty: the file as a whole
  std::string problem;  // what is wrong and what was expected, without a full stop
};

// "FILE:LINE:COLUMN: PATH: PROBLEM", as compilers print errors. Parts that are not known are left out.
std::string ToText(const ConfigFault& fault);
// All faults, with `separator` between them.
std::string ToText(const std::vector<ConfigFault>& faults, std::string_view separator);

// The values of an operator's file. With faults, only the values without one are present.
struct ParsedOperatorsFile {
  nlohmann::json values = nlohmann::json::object();  // in the form of the platform's JSON
  std::map<std::string, SourceLocation> locations;   // of each value, by its path in the operator's file
  std::vector<ConfigFault> faults;
};

constexpr std::size_t kMaxDocumentBytes = std::size_t{64} * 1024;  // of the operator's file

// Parses the text of an operator's file and checks each value by itself against the schema. `file` is the
// file's name for the faults.
ParsedOperatorsFile ParseOperatorsFile(std::string_view toml, const std::string& file);

// Finds values that contradict one another although each is valid by itself. `values` are in the platform's
// form; `file` and `locations` are those of the operator's file, for the faults.
std::vector<ConfigFault> FindContradictions(const nlohmann::json& values, const std::string& file,
                                            const std::map<std::string, SourceLocation>& locations);

// The first 80 bytes of a value's text at most, for a fault; never ends within a UTF-8 character.
std::string Excerpt(const std::string& text);

// The indices of the list entries whose name an earlier entry has already. `name_path` says where the names
// are: "settings.classes[].name" for a list of tables, "settings.zones[]" for a list of names.
std::vector<std::size_t> FindRepeatedNames(const nlohmann::json& values, std::string_view name_path);

// The value at a path in the platform's form, such as "settings.classes[].aim", with `index` in place of
// "[]". Null where the value is absent or is a JSON null.
const nlohmann::json* ValueAt(const nlohmann::json& root, std::string_view platform_path, std::size_t index);
// Sets the value at such a path and creates the objects and list entries on the way to it.
void SetValueAt(nlohmann::json& root, std::string_view platform_path, std::size_t index,
                nlohmann::json value);

}  // namespace indigosaddle::config

// The operator's file: TOML in, the platform's form out, with the place of every value, or all faults at
// once. No I/O.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace indigosaddle::config {

struct Place {
  std::size_t line = 0, column = 0;  // from 1; 0: nowhere in the file
};

struct Fault {
  std::string file;  // or what else the value came from
  Place at;
  std::string path;  // "classes[1].aim"; empty: the file as a whole
  std::string what;  // what is wrong and what was expected, without an end mark
};

// "FILE:LINE:COLUMN: PATH: WHAT", as compilers write it.
std::string ToText(const Fault& fault);
std::string ToText(const std::vector<Fault>& faults, std::string_view between);

struct Document {
  nlohmann::json told = nlohmann::json::object();  // as the platform's JSON would have it
  std::map<std::string, Place> places;             // of each value by its path in the file
  std::vector<Fault> faults;
};

constexpr std::size_t kMostDocument = std::size_t{64} * 1024;  // bytes of the operator's file

Document ReadDocument(std::string_view toml, const std::string& file);

// Values that contradict one another, in the platform's form; `file` and `places` as known for the document.
std::vector<Fault> Contradictions(const nlohmann::json& told, const std::string& file,
                                  const std::map<std::string, Place>& places);

// The beginning of a value's text as a fault shows it; no character of it is cut in two.
std::string Excerpt(const std::string& text);

// The places in a list whose name stands earlier in it too: "settings.classes[].name", "settings.zones[]".
std::vector<std::size_t> Repeated(const nlohmann::json& told, std::string_view names);

// The value at "settings.classes[].aim", with `index` for "[]"; null where it is not.
const nlohmann::json* At(const nlohmann::json& root, std::string_view told, std::size_t index);
void Put(nlohmann::json& root, std::string_view told, std::size_t index, nlohmann::json value);

}  // namespace indigosaddle::config

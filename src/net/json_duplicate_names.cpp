#include "net/json_duplicate_names.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace indigosaddle::net {
namespace {

using nlohmann::json;

constexpr std::string_view kSpaces = " \t\r\n";

// A quick scan for duplicate names within an object. It may report one where there is none, but misses none:
// it compares names as they are written, and takes a name with an escape for a duplicate.
class DuplicateNameScan {
 public:
  bool MayRepeat(std::string_view text) {
    for (std::size_t position = 0;
         (position = text.find_first_of("{}\"", position)) != std::string_view::npos; ++position) {
      if (text[position] == '{') {
        OpenObject();
      } else if (text[position] == '}') {
        if (depth_ == 0) return true;
        --depth_;
      } else if (!PassString(text, position)) {
        return true;
      }
    }
    return false;
  }

 private:
  void OpenObject() {
    if (++depth_ > open_objects_.size()) open_objects_.emplace_back();
    open_objects_[depth_ - 1].clear();
  }

  // Moves `position` from the start of a string to its end. Returns false if the string may be a duplicate
  // name.
  bool PassString(std::string_view text, std::size_t& position) {
    const std::size_t begin = position + 1;
    bool escapes = false;
    for (position = begin;
         (position = text.find_first_of("\"\\", position)) != std::string_view::npos && text[position] != '"';
         position += 2) {
      escapes = true;
    }
    if (position == std::string_view::npos) return false;
    const std::size_t after = text.find_first_not_of(kSpaces, position + 1);
    if (after == std::string_view::npos || text[after] != ':') return true;
    if (escapes || depth_ == 0) return false;
    std::vector<std::string_view>& names = open_objects_[depth_ - 1];
    const std::string_view name = text.substr(begin, position - begin);
    if (std::find(names.begin(), names.end(), name) != names.end()) return false;
    names.push_back(name);
    return true;
  }

  std::vector<std::vector<std::string_view>> open_objects_;  // the names seen in each open object
  std::size_t depth_ = 0;
};

// Parses a text and replaces each object with a duplicate name as ParseMarkingDuplicateNames says. The parser
// alone would keep the last value.
class MarkingParser {
 public:
  json Parse(std::string_view text) {
    const auto on_event = [this](int, json::parse_event_t event, json& parsed) {
      if (event == json::parse_event_t::object_start) open_objects_.emplace_back();
      if (event == json::parse_event_t::key) OnName(parsed.get_ref<const std::string&>());
      if (event == json::parse_event_t::object_end) OnEnd(parsed);
      return true;
    };
    return json::parse(text, on_event, false);
  }

 private:
  struct Object {
    std::vector<std::string> names;  // so few that a linear search is enough
    bool has_duplicate = false, host_duplicated = false;
  };

  void OnName(const std::string& name) {
    Object& object = open_objects_.back();
    if (std::find(object.names.begin(), object.names.end(), name) == object.names.end()) {
      object.names.push_back(name);
      return;
    }
    object.has_duplicate = true;
    object.host_duplicated |= name == "host";
  }

  void OnEnd(json& parsed) {
    const Object object = std::move(open_objects_.back());
    open_objects_.pop_back();
    if (!object.has_duplicate) return;
    json marked = {{kDuplicateNameMark, true}};
    if (!object.host_duplicated && parsed.contains("host")) marked["host"] = parsed["host"];
    parsed = std::move(marked);
  }

  std::vector<Object> open_objects_;
};

}  // namespace

json ParseMarkingDuplicateNames(std::string_view text) {
  return DuplicateNameScan().MayRepeat(text) ? MarkingParser().Parse(text)
                                             : json::parse(text, nullptr, false);
}

}  // namespace indigosaddle::net

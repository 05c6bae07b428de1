#include "net/json_once.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace indigosaddle::net {
namespace {

using nlohmann::json;

constexpr std::string_view kSpaces = " \t\r\n";

// Whether an object may give a name twice: surely not where this says no. Looks at names as they are written,
// and takes one with an escape for any.
class Names {
 public:
  bool MayRepeat(std::string_view text) {
    for (std::size_t at = 0; (at = text.find_first_of("{}\"", at)) != std::string_view::npos; ++at) {
      if (text[at] == '{') {
        Open();
      } else if (text[at] == '}') {
        if (depth_ == 0) return true;
        --depth_;
      } else if (!Pass(text, at)) {
        return true;
      }
    }
    return false;
  }

 private:
  void Open() {
    if (++depth_ > open_.size()) open_.emplace_back();
    open_[depth_ - 1].clear();
  }

  // A string that begins at `at`; `at` is its end then. False where it may be a name once more.
  bool Pass(std::string_view text, std::size_t& at) {
    const std::size_t begin = at + 1;
    bool escapes = false;
    for (at = begin; (at = text.find_first_of("\"\\", at)) != std::string_view::npos && text[at] != '"';
         at += 2)
      escapes = true;
    if (at == std::string_view::npos) return false;
    const std::size_t next = text.find_first_not_of(kSpaces, at + 1);
    if (next == std::string_view::npos || text[next] != ':') return true;
    if (escapes || depth_ == 0) return false;
    std::vector<std::string_view>& names = open_[depth_ - 1];
    const std::string_view name = text.substr(begin, at - begin);
    if (std::find(names.begin(), names.end(), name) != names.end()) return false;
    names.push_back(name);
    return true;
  }

  std::vector<std::vector<std::string_view>> open_;  // the names of each object that is open
  std::size_t depth_ = 0;
};

// Parses a text. An object that gives a name twice says neither: of it only its mark is left, and its host
// where that is given once. The parser alone would keep the last.
class Parser {
 public:
  json Parse(std::string_view text) {
    const auto heard = [this](int, json::parse_event_t event, json& parsed) {
      if (event == json::parse_event_t::object_start) open_.emplace_back();
      if (event == json::parse_event_t::key) OnName(parsed.get_ref<const std::string&>());
      if (event == json::parse_event_t::object_end) OnEnd(parsed);
      return true;
    };
    return json::parse(text, heard, false);
  }

 private:
  struct Object {
    std::vector<std::string> names;  // few
    bool any_twice = false, host_twice = false;
  };

  void OnName(const std::string& name) {
    Object& object = open_.back();
    if (std::find(object.names.begin(), object.names.end(), name) == object.names.end()) {
      object.names.push_back(name);
      return;
    }
    object.any_twice = true;
    object.host_twice |= name == "host";
  }

  void OnEnd(json& parsed) {
    const Object object = std::move(open_.back());
    open_.pop_back();
    if (!object.any_twice) return;
    json left = {{kTwice, true}};
    if (!object.host_twice && parsed.contains("host")) left["host"] = parsed["host"];
    parsed = std::move(left);
  }

  std::vector<Object> open_;
};

}  // namespace

json ParseOnce(std::string_view text) {
  return Names().MayRepeat(text) ? Parser().Parse(text) : json::parse(text, nullptr, false);
}

}  // namespace indigosaddle::net

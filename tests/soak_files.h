// Files of the platform's that a soak draws, good and broken, and a model of which one is in force. The model
// is the page's: a file that is empty, cut off, short of a key or of no use in a value leaves the old
// settings whole; any other is in force from its signal or start on. It shares no code with the node.
#pragma once

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "soak_rules.h"

namespace indigosaddle::testing {

// A text for the file, and whether the page lets it come into force.
struct DrawnFile {
  std::string text;
  bool good = true;
  nlohmann::json document;  // of a good one
  std::string about;        // for people
};

// Spoils a document in one place, after it has loosened the class whose rules change: where it came into
// force all the same, repeats would show it.
class FileBreaker {
 public:
  explicit FileBreaker(std::uint64_t seed) : random_(seed) {}

  DrawnFile Break(nlohmann::json document) {
    Loosen(document);
    switch (Draw(6)) {
      case 0: return Cut(document.dump());
      case 1: return {"", false, {}, "empty"};
      case 2: return KeyTwice(document);
      case 3: return OddValue(document);
      default: return Without(document, Draw(3) == 0);
    }
  }

 private:
  using Pointer = nlohmann::json::json_pointer;

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

  void Loosen(nlohmann::json& document) {
    for (auto& one : document["settings"]["classes"]) {
      if (one["name"] != kShiftingClass && one["name"] != "unsafe") continue;
      one["effect"] = "read_like";
      one["deadline"] = 2000.0 + 1000.0 * Draw(8);
    }
  }
  DrawnFile Cut(const std::string& text) {
    const std::size_t at = std::uniform_int_distribution<std::size_t>(1, text.size() - 1)(random_);
    return {text.substr(0, at), false, {}, "cut at " + std::to_string(at)};
  }
  DrawnFile KeyTwice(const nlohmann::json& document) {
    std::string text = document.dump();
    const std::string key = R"("effect":)";
    text.insert(text.rfind(key), key + R"("read_like",)");
    return {text, false, {}, "a key twice"};
  }
  DrawnFile OddValue(nlohmann::json document) {
    const std::vector<std::string> deadlines = {"/settings/classes/0/deadline", "/settings/caps/attemptsCap"};
    if (Draw(1) == 0) {
      const std::string path = deadlines[static_cast<std::size_t>(Draw(1))];
      document[Pointer(path)] = -Draw(5);
      return {document.dump(), false, {}, path + " not over 0"};
    }
    const Pointer key = AnyKey(document);
    document[key] = document[key].is_string() ? nlohmann::json(5) : nlohmann::json("five");
    return {document.dump(), false, {}, key.to_string() + " of another type"};
  }
  DrawnFile Without(nlohmann::json document, bool null) {
    const Pointer key = AnyKey(document);
    if (null) {
      document[key] = nullptr;
    } else {
      document[key.parent_pointer()].erase(key.back());
    }
    return {document.dump(), false, {}, key.to_string() + (null ? " null" : " gone")};
  }

  // Any key of any object in the document.
  Pointer AnyKey(const nlohmann::json& document) {
    std::vector<Pointer> keys;
    Collect(document, Pointer(), keys);
    return keys[std::uniform_int_distribution<std::size_t>(0, keys.size() - 1)(random_)];
  }
  static void Collect(const nlohmann::json& value, const Pointer& at, std::vector<Pointer>& keys) {
    if (value.is_object()) {
      for (const auto& [name, item] : value.items()) {
        keys.push_back(at / name);
        Collect(item, at / name, keys);
      }
    } else if (value.is_array()) {
      for (std::size_t i = 0; i < value.size(); ++i) Collect(value[i], at / i, keys);
    }
  }

  std::mt19937_64 random_;
};

// Which file is in force at one node, by the page, and how many were taken and turned down since its start.
class FilesInForce {
 public:
  // True where what clients go by changed.
  bool OnSignal(const DrawnFile& file) {
    ++(file.good ? taken_ : refused_);
    return Take(file);
  }
  bool OnStart(const DrawnFile& file) {
    taken_ = refused_ = 0;
    return Take(file);
  }
  const nlohmann::json& classes() const { return document_["settings"]["classes"]; }
  int taken() const { return taken_; }
  int refused() const { return refused_; }
  // Signals in a row may be told as one: `seen` are known only afterwards.
  void OnSeveral(const DrawnFile& file, int seen) { (file.good ? taken_ : refused_) += seen - 1; }
  void Recount(int taken, int refused) { taken_ = taken, refused_ = refused; }

 private:
  bool Take(const DrawnFile& file) {
    if (!file.good) return false;
    document_ = file.document;
    return true;
  }

  nlohmann::json document_;
  int taken_ = 0, refused_ = 0;
};

}  // namespace indigosaddle::testing

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
struct GeneratedFile {
  std::string text;
  bool valid = true;
  nlohmann::json document;  // of a good one
  std::string description;  // for people
};

// Spoils a document in one place, after it has loosened the class whose rules change: where it came into
// force all the same, repeats would show it.
class FileCorrupter {
 public:
  explicit FileCorrupter(std::uint64_t seed) : random_(seed) {}

  GeneratedFile Corrupt(nlohmann::json document) {
    RelaxClassRules(document);
    switch (Draw(6)) {
      case 0: return Truncate(document.dump());
      case 1: return {"", false, {}, "empty"};
      case 2: return DuplicateKey(document);
      case 3: return InvalidValue(document);
      default: return RemoveKey(document, Draw(3) == 0);
    }
  }

 private:
  using Pointer = nlohmann::json::json_pointer;

  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

  void RelaxClassRules(nlohmann::json& document) {
    for (auto& class_settings : document["settings"]["classes"]) {
      if (class_settings["name"] != kChangingClass && class_settings["name"] != "unsafe") continue;
      class_settings["effect"] = "read_like";
      class_settings["deadline"] = 2000.0 + 1000.0 * Draw(8);
    }
  }
  GeneratedFile Truncate(const std::string& text) {
    const std::size_t position = std::uniform_int_distribution<std::size_t>(1, text.size() - 1)(random_);
    return {text.substr(0, position), false, {}, "cut at " + std::to_string(position)};
  }
  GeneratedFile DuplicateKey(const nlohmann::json& document) {
    std::string text = document.dump();
    const std::string key = R"("effect":)";
    text.insert(text.rfind(key), key + R"("read_like",)");
    return {text, false, {}, "a key twice"};
  }
  GeneratedFile InvalidValue(nlohmann::json document) {
    const std::vector<std::string> deadlines = {"/settings/classes/0/deadline", "/settings/caps/attemptsCap"};
    if (Draw(1) == 0) {
      const std::string path = deadlines[static_cast<std::size_t>(Draw(1))];
      document[Pointer(path)] = -Draw(5);
      return {document.dump(), false, {}, path + " not over 0"};
    }
    const Pointer key = RandomKey(document);
    document[key] = document[key].is_string() ? nlohmann::json(5) : nlohmann::json("five");
    return {document.dump(), false, {}, key.to_string() + " of another type"};
  }
  GeneratedFile RemoveKey(nlohmann::json document, bool set_to_null) {
    const Pointer key = RandomKey(document);
    if (set_to_null) {
      document[key] = nullptr;
    } else {
      document[key.parent_pointer()].erase(key.back());
    }
    return {document.dump(), false, {}, key.to_string() + (set_to_null ? " null" : " gone")};
  }

  // Any key of any object in the document.
  Pointer RandomKey(const nlohmann::json& document) {
    std::vector<Pointer> keys;
    CollectKeys(document, Pointer(), keys);
    return keys[std::uniform_int_distribution<std::size_t>(0, keys.size() - 1)(random_)];
  }
  static void CollectKeys(const nlohmann::json& value, const Pointer& parent, std::vector<Pointer>& keys) {
    if (value.is_object()) {
      for (const auto& [name, item] : value.items()) {
        keys.push_back(parent / name);
        CollectKeys(item, parent / name, keys);
      }
    } else if (value.is_array()) {
      for (std::size_t i = 0; i < value.size(); ++i) CollectKeys(value[i], parent / i, keys);
    }
  }

  std::mt19937_64 random_;
};

// Which file is in force at one node, by the page, and how many were taken and turned down since its start.
class ActiveConfigModel {
 public:
  // True where what clients go by changed.
  bool OnReload(const GeneratedFile& file) {
    ++(file.valid ? accepted_ : rejected_);
    return Activate(file);
  }
  bool OnStart(const GeneratedFile& file) {
    accepted_ = rejected_ = 0;
    return Activate(file);
  }
  const nlohmann::json& classes() const { return document_["settings"]["classes"]; }
  int accepted() const { return accepted_; }
  int rejected() const { return rejected_; }
  // Signals in a row may be told as one: `seen` are known only afterwards.
  void OnCoalescedReloads(const GeneratedFile& file, int reload_count) {
    (file.valid ? accepted_ : rejected_) += reload_count - 1;
  }
  void SetCounts(int accepted, int rejected) { accepted_ = accepted, rejected_ = rejected; }

 private:
  bool Activate(const GeneratedFile& file) {
    if (!file.valid) return false;
    document_ = file.document;
    return true;
  }

  nlohmann::json document_;
  int accepted_ = 0, rejected_ = 0;
};

}  // namespace indigosaddle::testing

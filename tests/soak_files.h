// Configuration files that a soak test generates, valid and corrupt, and a model of which one is active. The
// model follows the specification: a file that is empty, truncated, lacks a key or has an unusable value
// leaves the previous settings unchanged as a whole; any other file is active from its SIGHUP or start on.
// The model shares no code with the node.
#pragma once

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "soak_rules.h"

namespace indigosaddle::testing {

// A configuration file, and whether the specification lets it take effect.
struct GeneratedFile {
  std::string text;
  bool valid = true;
  nlohmann::json document;  // empty if the file is invalid
  std::string description;  // for failure messages
};

// Corrupts a document in one place, after it has relaxed the rules of two classes: if the node applied the
// corrupt file anyway, repeated calls would show it.
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
    return {text, false, {}, "a duplicated key"};
  }
  GeneratedFile InvalidValue(nlohmann::json document) {
    const std::vector<std::string> deadlines = {"/settings/classes/0/deadline", "/settings/caps/attemptsCap"};
    if (Draw(1) == 0) {
      const std::string path = deadlines[static_cast<std::size_t>(Draw(1))];
      document[Pointer(path)] = -Draw(5);
      return {document.dump(), false, {}, path + " not positive"};
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
    return {document.dump(), false, {}, key.to_string() + (set_to_null ? " null" : " removed")};
  }

  // Selects any key of any object in the document.
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

// The specified behaviour of one node: which configuration is active, and how many reloads were accepted and
// rejected since its start.
class ActiveConfigModel {
 public:
  // The node has read `file` on a SIGHUP or at its start. Returns true if the active configuration was
  // replaced.
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
  // Adds the reloads beyond the first of a series of signals. The system may merge signals, so the number of
  // reloads is known only afterwards.
  void OnCoalescedReloads(const GeneratedFile& file, int reload_count) {
    (file.valid ? accepted_ : rejected_) += reload_count - 1;
  }
  // Replaces both counts, where the node's log decides which reloads happened.
  void SetCounts(int accepted, int rejected) {
    accepted_ = accepted;
    rejected_ = rejected;
  }

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

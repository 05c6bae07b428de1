// Saves the generations of the configuration in one file of the state folder. The file is replaced in one
// step, so that a kill at any time leaves either the old or the new state, complete. A file that can't be
// read is renamed and never interpreted in part.
#pragma once

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/transaction.h"

namespace indigosaddle::config {

// The most bytes that the generations may take of a state folder of `disk_bytes`: the file, its successor
// while it is written, and one damaged file that was set aside.
std::size_t MaxStoreBytes(std::size_t disk_bytes);

// A hash of a document's text in 16 hex digits, to tell whether two texts are the same.
std::string HashHex(std::string_view text);

// The generations in the form that `config history` prints, without their documents.
nlohmann::json HistoryAsJson(const History& history);

// The file with the generations in one state folder.
class Store {
 public:
  // `on_step` is called at each step of a save with the step's name, for tests that end the process there.
  Store(const std::string& folder, std::size_t disk_bytes, std::function<void(const char*)> on_step = {});

  // Reads the file; without one the history is empty. Returns false where the file is damaged, and says how
  // in `error`. With `set_aside` a damaged file is renamed; else nothing on the disk changes.
  bool Load(History& history, std::string& error, bool set_aside) const;

  // Replaces the file. Returns false, with the reason in `error`, where it can't be written or where the
  // documents that must be saved are too large. The documents of the oldest generations are left out first;
  // those of the kept one and of one on trial never are.
  bool Save(const History& history, std::string& error) const;

 private:
  const std::string path_;
  const std::size_t max_bytes_;
  const std::function<void(const char*)> on_step_;
};

}  // namespace indigosaddle::config

// Keeps the platform's configuration that was last accepted in the state folder. A process that starts and
// finds the platform's file missing, half written or wrong uses this copy, just as a running process goes on
// with the configuration that it has.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace indigosaddle::node {

class LastGoodFile {
 public:
  explicit LastGoodFile(const std::string& folder) : path_(folder + "/platform.json") {}

  // Saves `text` without its list of endpoints, which goes out of date and may be long. Does nothing if the
  // text was handled before. A write that fails is tried again by the next call; a document of more than
  // `max_bytes` is not saved.
  void Save(const std::string& text, std::size_t max_bytes);
  // Returns the saved document, or nothing if there is none or it can't be read.
  std::optional<std::string> Load() const;

 private:
  const std::string path_;
  std::string handled_text_;  // the last text that was saved, or was too long to be saved
};

}  // namespace indigosaddle::node

// The platform's configuration as it was last taken, kept in the state folder. A start that finds the
// platform's file missing, half written or wrong serves by this one, as a running process goes on by what it
// had.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace indigosaddle::node {

class LastGoodFile {
 public:
  explicit LastGoodFile(const std::string& folder) : path_(folder + "/platform.json") {}

  // Keeps `text`, but for the list of endpoints in it, which ages and may be long. Tried again by the next
  // call where the folder takes no writes; left out where it is longer than `most`.
  void Keep(const std::string& text, std::size_t most);
  std::optional<std::string> Load() const;  // nothing: none is kept, or it can't be read

 private:
  const std::string path_;
  std::string seen_;  // the text that the file holds, or that is too long for it
};

}  // namespace indigosaddle::node

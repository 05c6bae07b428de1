#include "node/last_good_file.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/replace_file.h"

namespace indigosaddle::node {

void LastGoodFile::Keep(const std::string& text, std::size_t most) {
  if (text == kept_) return;
  nlohmann::json whole = nlohmann::json::parse(text, nullptr, false);
  if (!whole.is_object()) return;
  whole.erase("known");
  const std::string shorter = whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (shorter.size() <= most && base::ReplaceFile(path_, shorter)) kept_ = text;
}

std::optional<std::string> LastGoodFile::Load() const {
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace indigosaddle::node

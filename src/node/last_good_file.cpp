#include "node/last_good_file.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/read_file.h"
#include "base/replace_file.h"

namespace indigosaddle::node {
namespace {

constexpr std::size_t kMostBytes = std::size_t{4} * 1024 * 1024;  // of a file that can't be ours

}  // namespace

void LastGoodFile::Keep(const std::string& text, std::size_t most) {
  if (text == seen_) return;
  nlohmann::json whole = nlohmann::json::parse(text, nullptr, false);
  if (!whole.is_object()) return;
  whole.erase("known");
  const std::string shorter = whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (shorter.size() > most || base::ReplaceFile(path_, shorter)) seen_ = text;
}

std::optional<std::string> LastGoodFile::Load() const {
  base::FileText file = base::ReadFile(path_, kMostBytes);
  if (!file.error.empty()) return std::nullopt;
  return std::move(file.text);
}

}  // namespace indigosaddle::node

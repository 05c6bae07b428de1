#include "node/last_good_file.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/read_file.h"
#include "base/replace_file.h"

namespace indigosaddle::node {
namespace {

// A longer file can't be one that this program wrote.
constexpr std::size_t kMaxFileBytes = std::size_t{4} * 1024 * 1024;

}  // namespace

void LastGoodFile::Save(const std::string& text, std::size_t max_bytes) {
  if (text == handled_text_) return;
  nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) return;
  document.erase("known");
  const std::string without_list = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (without_list.size() > max_bytes || base::ReplaceFile(path_, without_list)) handled_text_ = text;
}

std::optional<std::string> LastGoodFile::Load() const {
  base::FileText file = base::ReadFile(path_, kMaxFileBytes);
  if (!file.error.empty()) return std::nullopt;
  return std::move(file.text);
}

}  // namespace indigosaddle::node

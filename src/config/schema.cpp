#include "config/schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/schema_rows.h"
#include "config/units.h"

namespace indigosaddle::config {
namespace {

using nlohmann::json;

constexpr double kMegabyte = 1e6;  // the platform's unit of sizes, in bytes

}  // namespace

const std::vector<Setting>& Schema() {
  static const std::vector<Setting> settings = [] {
    std::vector<Setting> all;
    for (const auto* rows : {&NodeRows(), &ListRows(), &FleetRows()})
      all.insert(all.end(), rows->begin(), rows->end());
    return all;
  }();
  return settings;
}

const Setting* FindSetting(std::string_view path) {
  for (const Setting& setting : Schema()) {
    if (path == setting.path) return &setting;
  }
  return nullptr;
}

std::string ToFileForm(const Setting& setting, const json& value) {
  switch (setting.type) {
    case ValueType::kDuration:
      return value.is_number() ? FormatWithUnit(value.get<double>(), kDurationUnits) : value.dump();
    case ValueType::kBytes:
      return value.is_number() ? FormatWithUnit(value.get<double>() * kMegabyte, kSizeUnits) : value.dump();
    case ValueType::kChoice: {
      std::string word = value.is_string() ? value.get<std::string>() : value.dump();
      ForEachChoice(setting.choices, [&](std::string_view file_word, std::string_view platform_word) {
        if (value.is_string() && value.get<std::string>() == platform_word) word = file_word;
      });
      return word;
    }
    case ValueType::kText:
    case ValueType::kAddress: return value.is_string() ? value.get<std::string>() : value.dump();
    case ValueType::kNumber: return value.is_number() ? fmt::format("{}", value.get<double>()) : value.dump();
    case ValueType::kInteger:
      return value.is_number() ? fmt::format("{:.0f}", value.get<double>()) : value.dump();
    case ValueType::kFlag: return value.dump();
  }
  return value.dump();
}

std::optional<json> ToPlatformForm(const Setting& setting, const json& file_value) {
  const auto in_range = [&](double value) { return value >= setting.min && value <= setting.max; };
  switch (setting.type) {
    case ValueType::kText:
      if (!file_value.is_string() ||
          !in_range(static_cast<double>(file_value.get_ref<const std::string&>().size()))) {
        return std::nullopt;
      }
      return file_value;
    case ValueType::kAddress:
      if (!file_value.is_string()) return std::nullopt;
      return file_value;  // src/node parses the address
    case ValueType::kChoice: {
      std::optional<json> value;
      ForEachChoice(setting.choices, [&](std::string_view file_word, std::string_view platform_word) {
        if (file_value.is_string() && file_value.get_ref<const std::string&>() == file_word)
          value = std::string(platform_word);
      });
      return value;
    }
    case ValueType::kFlag:
      if (!file_value.is_boolean()) return std::nullopt;
      return file_value;
    case ValueType::kInteger:
      if (!file_value.is_number_integer() || !in_range(file_value.get<double>())) return std::nullopt;
      return file_value;
    case ValueType::kNumber:
      if (!file_value.is_number() || !in_range(file_value.get<double>())) return std::nullopt;
      return file_value.get<double>();
    case ValueType::kDuration:
    case ValueType::kBytes: {
      if (!file_value.is_string()) return std::nullopt;
      const std::string& text = file_value.get_ref<const std::string&>();
      const auto value = setting.type == ValueType::kDuration ? ParseWithUnit(text, kDurationUnits)
                                                              : ParseWithUnit(text, kSizeUnits);
      if (!value || !in_range(*value)) return std::nullopt;
      return setting.type == ValueType::kDuration ? *value : *value / kMegabyte;
    }
  }
  return std::nullopt;
}

json DefaultOf(const Setting& setting) {
  const bool unquoted = setting.type == ValueType::kFlag || setting.type == ValueType::kInteger ||
                        setting.type == ValueType::kNumber;
  return *ToPlatformForm(setting, unquoted ? json::parse(setting.default_text) : json(setting.default_text));
}

std::string DescribeExpected(const Setting& setting) {
  switch (setting.type) {
    case ValueType::kText:
      return fmt::format("a text of {:.0f} to {:.0f} characters in quotes", setting.min, setting.max);
    case ValueType::kAddress: return "\"ip:port\"";
    case ValueType::kChoice: return ListChoices(setting.choices);
    case ValueType::kFlag: return "true or false";
    case ValueType::kInteger:
      return fmt::format("a whole number from {:.0f} to {:.0f}", setting.min, setting.max);
    case ValueType::kNumber: return fmt::format("a number from {} to {}", setting.min, setting.max);
    case ValueType::kDuration:
      return fmt::format("a duration in quotes from {} to {}, such as \"250ms\" or \"20s\"",
                         FormatWithUnit(setting.min, kDurationUnits),
                         FormatWithUnit(setting.max, kDurationUnits));
    case ValueType::kBytes:
      return fmt::format("a size in quotes from {} to {}, such as \"32MiB\"",
                         FormatWithUnit(setting.min, kSizeUnits), FormatWithUnit(setting.max, kSizeUnits));
  }
  return "?";
}

std::string NearestName(std::string_view name, const std::vector<std::string>& known_names) {
  // The Levenshtein distance, computed one row of its table at a time.
  const auto distance = [](std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
      std::size_t diagonal = std::exchange(row[0], i);
      for (std::size_t j = 1; j <= b.size(); ++j) {
        const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
        diagonal = row[j];
        row[j] = std::min({substitution, row[j] + 1, row[j - 1] + 1});
      }
    }
    return row.back();
  };
  std::string nearest;
  std::size_t limit = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& known : known_names) {
    if (const std::size_t edits = distance(name.substr(0, 64), known); edits < limit) {
      nearest = known;
      limit = edits;
    }
  }
  return nearest;
}

}  // namespace indigosaddle::config

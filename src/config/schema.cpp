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

constexpr double kMegabyte = 1e6;  // the platform's unit of sizes

}  // namespace

const std::vector<Item>& Schema() {
  static const std::vector<Item> items = [] {
    std::vector<Item> all;
    for (const auto* rows : {&NodeRows(), &ListRows(), &FleetRows()})
      all.insert(all.end(), rows->begin(), rows->end());
    return all;
  }();
  return items;
}

const Item* Find(std::string_view path) {
  for (const Item& item : Schema()) {
    if (path == item.path) return &item;
  }
  return nullptr;
}

std::string Show(const Item& item, const json& told) {
  switch (item.type) {
    case Type::kDuration: return told.is_number() ? InUnit(told.get<double>(), kTimes) : told.dump();
    case Type::kBytes: return told.is_number() ? InUnit(told.get<double>() * kMegabyte, kSizes) : told.dump();
    case Type::kWord: {
      std::string shown = told.is_string() ? told.get<std::string>() : told.dump();
      EachWord(item.words, [&](std::string_view ours, std::string_view theirs) {
        if (told.is_string() && told.get<std::string>() == theirs) shown = ours;
      });
      return shown;
    }
    case Type::kText:
    case Type::kAddress: return told.is_string() ? told.get<std::string>() : told.dump();
    case Type::kNumber: return told.is_number() ? fmt::format("{}", told.get<double>()) : told.dump();
    case Type::kInteger: return told.is_number() ? fmt::format("{:.0f}", told.get<double>()) : told.dump();
    case Type::kFlag: return told.dump();
  }
  return told.dump();
}

std::optional<json> ToTold(const Item& item, const json& written) {
  const auto within = [&](double value) { return value >= item.least && value <= item.most; };
  switch (item.type) {
    case Type::kText:
      if (!written.is_string() ||
          !within(static_cast<double>(written.get_ref<const std::string&>().size()))) {
        return std::nullopt;
      }
      return written;
    case Type::kAddress:
      if (!written.is_string()) return std::nullopt;
      return written;  // its form is judged where addresses are known
    case Type::kWord: {
      std::optional<json> told;
      EachWord(item.words, [&](std::string_view ours, std::string_view theirs) {
        if (written.is_string() && written.get_ref<const std::string&>() == ours) told = std::string(theirs);
      });
      return told;
    }
    case Type::kFlag:
      if (!written.is_boolean()) return std::nullopt;
      return written;
    case Type::kInteger:
      if (!written.is_number_integer() || !within(written.get<double>())) return std::nullopt;
      return written;
    case Type::kNumber:
      if (!written.is_number() || !within(written.get<double>())) return std::nullopt;
      return written.get<double>();
    case Type::kDuration:
    case Type::kBytes: {
      if (!written.is_string()) return std::nullopt;
      const std::string& text = written.get_ref<const std::string&>();
      const auto value = item.type == Type::kDuration ? WithUnit(text, kTimes) : WithUnit(text, kSizes);
      if (!value || !within(*value)) return std::nullopt;
      return item.type == Type::kDuration ? *value : *value / kMegabyte;
    }
  }
  return std::nullopt;
}

json DefaultOf(const Item& item) {
  const bool bare = item.type == Type::kFlag || item.type == Type::kInteger || item.type == Type::kNumber;
  return *ToTold(item, bare ? json::parse(item.absent) : json(item.absent));
}

std::string Expected(const Item& item) {
  switch (item.type) {
    case Type::kText:
      return fmt::format("a text of {:.0f} to {:.0f} characters in quotes", item.least, item.most);
    case Type::kAddress: return "\"ip:port\"";
    case Type::kWord: return WordList(item.words);
    case Type::kFlag: return "true or false";
    case Type::kInteger: return fmt::format("a whole number from {:.0f} to {:.0f}", item.least, item.most);
    case Type::kNumber: return fmt::format("a number from {} to {}", item.least, item.most);
    case Type::kDuration:
      return fmt::format("a duration in quotes from {} to {}, such as \"250ms\" or \"20s\"",
                         InUnit(item.least, kTimes), InUnit(item.most, kTimes));
    case Type::kBytes:
      return fmt::format("a size in quotes from {} to {}, such as \"32MiB\"", InUnit(item.least, kSizes),
                         InUnit(item.most, kSizes));
  }
  return "?";
}

std::string Nearest(std::string_view name, const std::vector<std::string>& known) {
  const auto distance = [](std::string_view a,
                           std::string_view b) {  // edits, by one row of the table at a time
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
      std::size_t corner = std::exchange(row[0], i);
      for (std::size_t j = 1; j <= b.size(); ++j) {
        const std::size_t change = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
        corner = row[j];
        row[j] = std::min({change, row[j] + 1, row[j - 1] + 1});
      }
    }
    return row.back();
  };
  std::string best;
  std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    if (const std::size_t edits = distance(name.substr(0, 64), candidate); edits < least) {
      best = candidate, least = edits;
    }
  }
  return best;
}

}  // namespace indigosaddle::config

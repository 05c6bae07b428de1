#include "node/message_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

#include "base/replace_file.h"

namespace indigosaddle::node {
namespace {

constexpr const char* kHead = "rules 1";
constexpr const char* kTail = "end";
constexpr char kSpace = ' ';  // between a line's fields

RuleHistory::Classes ClassesOf(const Config& config) {
  RuleHistory::Classes classes;
  for (const auto& [name, number] : config.classes)
    classes.emplace(name, config.settings.classes[static_cast<std::size_t>(number)]);
  return classes;
}

// A class's name may hold any character: it is the last of its line, behind one space.
std::string LineOf(const std::string& name, const RuleSpan& span) {
  return fmt::format("{} {} {} {} {} {} {}\n", static_cast<int>(span.rules.effect),
                     static_cast<int>(span.rules.group), span.rules.key_ttl.count(),
                     span.rules.sequential ? 1 : 0, span.deadline.count(), span.until.count(), name);
}

// The number from `least` to `most` that a line begins with, with one space behind it; both are taken off.
std::optional<std::int64_t> TakeNumber(std::string_view& line, std::int64_t least, std::int64_t most) {
  std::int64_t number = 0;
  const char* const end = line.data() + line.size();
  const auto [at, error] = std::from_chars(line.data(), end, number);
  if (error != std::errc() || at == end || *at != kSpace || number < least || number > most)
    return std::nullopt;
  line.remove_prefix(static_cast<std::size_t>(at - line.data()) + 1);
  return number;
}

struct Line {
  std::string name;
  RuleSpan span;
};

// The whole line as LineOf writes it, or nothing.
std::optional<Line> ReadLine(std::string_view line) {
  constexpr std::int64_t kLongest = Micros::max().count();
  const auto effect = TakeNumber(line, 0, static_cast<std::int64_t>(Effect::kUnsafe));
  const auto group = effect ? TakeNumber(line, 0, static_cast<std::int64_t>(Group::kCell)) : std::nullopt;
  const auto key_ttl = group ? TakeNumber(line, 0, kLongest) : std::nullopt;
  const auto sequential = key_ttl ? TakeNumber(line, 0, 1) : std::nullopt;
  const auto deadline = sequential ? TakeNumber(line, 0, kLongest) : std::nullopt;
  const auto until = deadline ? TakeNumber(line, 0, kLongest) : std::nullopt;
  if (!until || line.empty()) return std::nullopt;
  const RepeatRules rules{static_cast<Effect>(*effect), static_cast<Group>(*group), Micros(*key_ttl),
                          *sequential != 0};
  return Line{std::string(line), {rules, Micros(*deadline), Micros(*until)}};
}

// A process that saves has classes, each in force once; further ones are those that it had before.
bool SaysWhatIsInForce(const RuleHistory::Spans& spans) {
  bool any = false;
  for (const auto& [name, of_class] : spans) {
    const auto in_force = std::count_if(of_class.begin(), of_class.end(),
                                        [](const RuleSpan& span) { return span.until == Micros::max(); });
    if (in_force > 1) return false;
    any = any || in_force == 1;
  }
  return any;
}

}  // namespace

void MessageRules::Start(const Config& config, Micros now, bool folder_used) {
  RuleHistory::Spans spans;
  const Found found = Load(spans);
  known_ = found == Found::kHistory || (found == Found::kNothing && !folder_used);
  if (found == Found::kHistory) {
    history_.Restore(std::move(spans), now);
    history_.Change(ClassesOf(config), now);
  } else {
    history_.Begin(ClassesOf(config), now, known_ ? PriorRules::kNone : PriorRules::kUnknown);
  }
  saved_ = false;
}

void MessageRules::Change(const Config& config, Micros now) {
  if (history_.Change(ClassesOf(config), now)) saved_ = false;
}

void MessageRules::TakeOver(Micros now) {
  RuleHistory::Spans spans;
  known_ = Load(spans) == Found::kHistory;
  if (known_) {
    history_.Merge(spans, now);
  } else {
    history_.AssumeStrictestBefore(now);
  }
  saved_ = false;
}

bool MessageRules::Save() {
  if (saved_) return true;
  std::string text = std::string(kHead) + "\n";
  for (const auto& [name, of_class] : history_.spans())
    for (const RuleSpan& span : of_class) text += LineOf(name, span);
  return saved_ = base::ReplaceFile(path_, text + kTail + "\n");
}

MessageRules::Found MessageRules::Load(RuleHistory::Spans& spans) const {
  std::error_code error;
  if (!std::filesystem::exists(path_, error) && !error) return Found::kNothing;
  std::ifstream file(path_);
  std::string line;
  if (!std::getline(file, line) || line != kHead) return Found::kDamage;
  while (std::getline(file, line) && line != kTail) {
    auto read = ReadLine(line);
    if (!read) return Found::kDamage;
    spans[read->name].push_back(read->span);
  }
  const bool whole = line == kTail && !std::getline(file, line) && SaysWhatIsInForce(spans);
  return whole ? Found::kHistory : Found::kDamage;
}

}  // namespace indigosaddle::node

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

constexpr const char* kFirstLine = "rules 1";
constexpr const char* kLastLine = "end";
constexpr char kSeparator = ' ';  // between the fields of a line

RuleHistory::Classes ClassesOf(const Config& config) {
  RuleHistory::Classes classes;
  for (const auto& [name, number] : config.classes)
    classes.emplace(name, config.settings.classes[static_cast<std::size_t>(number)]);
  return classes;
}

// One line of the file. The class's name comes last, after a single space, because it may hold any character.
std::string LineOf(const std::string& name, const RuleSpan& span) {
  return fmt::format("{} {} {} {} {} {} {}\n", static_cast<int>(span.rules.effect),
                     static_cast<int>(span.rules.group), span.rules.key_ttl.count(),
                     span.rules.sequential ? 1 : 0, span.deadline.count(), span.until.count(), name);
}

// Removes a number and the separator after it from the start of the line. Returns nothing if there is no such
// number or it is not from `min` to `max`.
std::optional<std::int64_t> TakeNumber(std::string_view& line, std::int64_t min, std::int64_t max) {
  std::int64_t number = 0;
  const char* const end = line.data() + line.size();
  const auto [at, error] = std::from_chars(line.data(), end, number);
  if (error != std::errc() || at == end || *at != kSeparator || number < min || number > max)
    return std::nullopt;
  line.remove_prefix(static_cast<std::size_t>(at - line.data()) + 1);
  return number;
}

struct Line {
  std::string name;
  RuleSpan span;
};

// Parses a line that LineOf wrote; nothing if any part of it is malformed.
std::optional<Line> ParseLine(std::string_view line) {
  constexpr std::int64_t kMaxMicros = Micros::max().count();
  const auto effect = TakeNumber(line, 0, static_cast<std::int64_t>(Effect::kUnsafe));
  const auto group = effect ? TakeNumber(line, 0, static_cast<std::int64_t>(Group::kCell)) : std::nullopt;
  const auto key_ttl = group ? TakeNumber(line, 0, kMaxMicros) : std::nullopt;
  const auto sequential = key_ttl ? TakeNumber(line, 0, 1) : std::nullopt;
  const auto deadline = sequential ? TakeNumber(line, 0, kMaxMicros) : std::nullopt;
  const auto until = deadline ? TakeNumber(line, 0, kMaxMicros) : std::nullopt;
  if (!until || line.empty()) return std::nullopt;
  const RepeatRules rules{static_cast<Effect>(*effect), static_cast<Group>(*group), Micros(*key_ttl),
                          *sequential != 0};
  return Line{std::string(line), {rules, Micros(*deadline), Micros(*until)}};
}

// Whether the history can be one that a process saved: it has at least one class with rules in force, and no
// class has more than one such span. Classes with none are those of earlier configurations.
bool HasRulesInForce(const RuleHistory::Spans& spans) {
  bool any_in_force = false;
  for (const auto& [name, of_class] : spans) {
    const auto in_force = std::count_if(of_class.begin(), of_class.end(),
                                        [](const RuleSpan& span) { return span.until == Micros::max(); });
    if (in_force > 1) return false;
    any_in_force = any_in_force || in_force == 1;
  }
  return any_in_force;
}

}  // namespace

void MessageRules::Start(const Config& config, Micros now, bool folder_used) {
  RuleHistory::Spans spans;
  const LoadResult loaded = Load(spans);
  prior_rules_known_ = loaded == LoadResult::kHistory || (loaded == LoadResult::kNoFile && !folder_used);
  if (loaded == LoadResult::kHistory) {
    history_.Restore(std::move(spans), now);
    history_.Change(ClassesOf(config), now);
  } else {
    history_.Begin(ClassesOf(config), now, prior_rules_known_ ? PriorRules::kNone : PriorRules::kUnknown);
  }
  saved_ = false;
}

void MessageRules::Change(const Config& config, Micros now) {
  if (history_.Change(ClassesOf(config), now)) saved_ = false;
}

void MessageRules::TakeOver(Micros now) {
  RuleHistory::Spans spans;
  prior_rules_known_ = Load(spans) == LoadResult::kHistory;
  if (prior_rules_known_) {
    history_.Merge(spans, now);
  } else {
    history_.AssumeStrictestBefore(now);
  }
  saved_ = false;
}

bool MessageRules::Save() {
  if (saved_) return true;
  std::string text = std::string(kFirstLine) + "\n";
  for (const auto& [name, of_class] : history_.spans())
    for (const RuleSpan& span : of_class) text += LineOf(name, span);
  return saved_ = base::ReplaceFile(path_, text + kLastLine + "\n");
}

MessageRules::LoadResult MessageRules::Load(RuleHistory::Spans& spans) const {
  std::error_code error;
  if (!std::filesystem::exists(path_, error) && !error) return LoadResult::kNoFile;
  std::ifstream file(path_);
  std::string line;
  if (!std::getline(file, line) || line != kFirstLine) return LoadResult::kDamaged;
  while (std::getline(file, line) && line != kLastLine) {
    auto parsed = ParseLine(line);
    if (!parsed) return LoadResult::kDamaged;
    spans[parsed->name].push_back(parsed->span);
  }
  const bool complete = line == kLastLine && !std::getline(file, line) && HasRulesInForce(spans);
  return complete ? LoadResult::kHistory : LoadResult::kDamaged;
}

}  // namespace indigosaddle::node

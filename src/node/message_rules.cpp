#include "node/message_rules.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "base/replace_file.h"

namespace indigosaddle::node {
namespace {

constexpr const char* kHead = "rules 1";
constexpr const char* kTail = "end";

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

bool ReadLine(const std::string& line, RuleHistory::Spans& spans) {
  std::istringstream words(line);
  int effect = 0, group = 0, sequential = 0;
  std::int64_t key_ttl = 0, deadline = 0, until = 0;
  std::string name;
  if (!(words >> effect >> group >> key_ttl >> sequential >> deadline >> until)) return false;
  words.get();
  std::getline(words, name);
  const bool known = effect >= 0 && effect <= static_cast<int>(Effect::kUnsafe) && group >= 0 &&
                     group <= static_cast<int>(Group::kCell);
  if (!known) return false;
  const RepeatRules rules{static_cast<Effect>(effect), static_cast<Group>(group), Micros(key_ttl),
                          sequential != 0};
  spans[name].push_back({rules, Micros(deadline), Micros(until)});
  return true;
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
    history_.Begin(ClassesOf(config), now, known_ ? Before::kNothing : Before::kUnknown);
  }
  saved_ = false;
}

void MessageRules::Change(const Config& config, Micros now) {
  if (history_.Change(ClassesOf(config), now)) saved_ = false;
}

void MessageRules::TakeOver(Micros now) {
  RuleHistory::Spans spans;
  if (Load(spans) == Found::kHistory) history_.Merge(spans, now);
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
  while (std::getline(file, line) && line != kTail)
    if (!ReadLine(line, spans)) return Found::kDamage;
  return line == kTail ? Found::kHistory : Found::kDamage;
}

}  // namespace indigosaddle::node

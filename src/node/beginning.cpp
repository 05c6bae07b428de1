#include "node/beginning.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "config/platform_document.h"
#include "config/store.h"
#include "config/strict_json.h"
#include "node/last_good_file.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

constexpr const char* kLastGoodName = "the last good platform file";

// The folder that the sources name; empty: none.
std::string FolderOf(const config::Sources& sources) {
  const config::EffectiveConfig e = config::Combine(sources);
  const json* told = config::ValueAt(e.merged, "state", 0);
  return told != nullptr && told->is_string() ? told->get<std::string>() : "";
}

Beginning BeginWith(config::Sources sources, const std::string& operators_path, const StepHook& step) {
  Beginning b;
  b.operators_path = operators_path;
  b.step = step ? step : [](const char*) {};
  b.sources = std::move(sources);
  if (operators_path.empty()) {
    b.config = MakeConfig(b.sources);
    return b;
  }
  // The folder with the generations is named by the file itself, so a file that can't be used is asked for
  // that alone.
  std::string unusable, folder;
  try {
    folder = MakeConfig(b.sources).state_folder;
  } catch (const ConfigError& error) {
    unusable = error.what();
    folder = FolderOf(b.sources);
    if (folder.empty()) throw;
  }
  config::History saved;
  std::string damaged;
  config::Store(folder, 0).Load(saved, damaged, true);
  if (!unusable.empty() && saved.kept == 0) throw ConfigError(unusable);
  const std::string file = b.sources.operators_file.text;
  b.history = config::HistoryAtStart(
      std::move(saved), file, config::Hash(file), unusable.empty(),
      std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch()));
  const config::Generation& kept = *b.history.Find(b.history.kept);
  b.sources.operators_file.text = kept.document;
  if (kept.document != file) b.sources.operators_file.name = fmt::format("generation {}", kept.number);
  b.config = MakeConfig(b.sources);
  b.trouble = unusable;
  if (!damaged.empty()) b.trouble += (b.trouble.empty() ? "" : "; ") + damaged;
  return b;
}

// The platform's last good file in place of the one that can't be used; nothing where there is none.
std::optional<config::Sources> LastGoodSources(const std::map<std::string, std::string>& environment,
                                               const std::string& operators_path) {
  const auto named = environment.find("EDGE_CONFIG");
  if (named == environment.end() || named->second.empty()) return std::nullopt;
  auto without_platform = environment;
  without_platform.erase("EDGE_CONFIG");
  config::Sources sources;
  if (!operators_path.empty()) sources = ReadSources(without_platform, operators_path);
  sources.environment = environment;
  const std::string folder = FolderOf(sources);
  if (folder.empty()) return std::nullopt;
  const std::optional<std::string> text = LastGoodFile(folder).Load();
  if (!text) return std::nullopt;
  sources.platform = {true, kLastGoodName, *text};
  return sources;
}

// Nothing where that can't be used either.
std::optional<Beginning> BeginWithLastGood(const std::map<std::string, std::string>& environment,
                                           const std::string& operators_path, const StepHook& step) {
  try {
    auto sources = LastGoodSources(environment, operators_path);
    if (!sources) return std::nullopt;
    return BeginWith(std::move(*sources), operators_path, step);
  } catch (const ConfigError&) {
    return std::nullopt;
  }
}

}  // namespace

std::string HoldAgainstLastGood(config::Sources& sources) {
  const std::string folder = FolderOf(sources);
  if (folder.empty() || !sources.platform.given) return "";
  const std::optional<std::string> text = LastGoodFile(folder).Load();
  if (!text) return "";
  const config::ParsedObject parsed = config::ParseObject(*text, kLastGoodName);
  std::vector<config::Fault> faults = parsed.faults;
  // One that no node could serve by is no measure of another.
  if (faults.empty()) {
    const auto below =
        sources.operators_file.given ? config::BaseLayer::kOperatorsFile : config::BaseLayer::kNone;
    faults = config::CheckPlatformDocument(parsed.value, kLastGoodName, below);
  }
  if (!faults.empty()) return config::ToText(faults, "; ");
  sources.platform_in_force = {true, kLastGoodName, *text};
  return "";
}

Beginning Begin(const std::map<std::string, std::string>& environment, const std::string& operators_path,
                const StepHook& step) {
  try {
    config::Sources sources = ReadSources(environment, operators_path);
    const std::string damaged = HoldAgainstLastGood(sources);
    Beginning beginning = BeginWith(std::move(sources), operators_path, step);
    beginning.sources.platform_in_force = {};
    if (!damaged.empty()) beginning.trouble += (beginning.trouble.empty() ? "" : "; ") + damaged;
    return beginning;
  } catch (const ConfigError& error) {
    // A process that runs goes on by what it had when it reads a file that is broken, half written or gone.
    // One that starts does the same: it owes what the one before it took on.
    std::optional<Beginning> last_good = BeginWithLastGood(environment, operators_path, step);
    if (!last_good) throw;
    last_good->trouble = error.what() + (last_good->trouble.empty() ? "" : "; " + last_good->trouble);
    return std::move(*last_good);
  }
}

}  // namespace indigosaddle::node

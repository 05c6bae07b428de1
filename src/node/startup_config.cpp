#include "node/startup_config.h"

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

// Returns the state folder that the sources name; empty if they name none.
std::string StateFolderOf(const config::Sources& sources) {
  const config::EffectiveConfig effective = config::Combine(sources);
  const json* value = config::ValueAt(effective.merged, "state", 0);
  return value != nullptr && value->is_string() ? value->get<std::string>() : "";
}

// Builds the startup configuration from `sources`. With an operator's file, the accepted generation replaces
// the file's text. Throws ConfigError if neither the file nor a saved generation can be used.
StartupConfig MakeStartupConfig(config::Sources sources, const std::string& operators_path,
                                const StepHook& step) {
  StartupConfig startup;
  startup.operators_path = operators_path;
  startup.step = step ? step : [](const char*) {};
  startup.sources = std::move(sources);
  if (operators_path.empty()) {
    startup.config = MakeConfig(startup.sources);
    return startup;
  }
  // The operator's file names the folder that holds the generations. If the file can't be used, only this
  // one value is read from it.
  std::string file_errors, folder;
  try {
    folder = MakeConfig(startup.sources).state_folder;
  } catch (const ConfigError& error) {
    file_errors = error.what();
    folder = StateFolderOf(startup.sources);
    if (folder.empty()) throw;
  }
  config::History saved;
  std::string history_error;
  config::Store(folder, 0).Load(saved, history_error, true);
  if (!file_errors.empty() && saved.kept == 0) throw ConfigError(file_errors);
  const std::string operators_text = startup.sources.operators_file.text;
  startup.history = config::HistoryAtStart(
      std::move(saved), operators_text, config::HashHex(operators_text), file_errors.empty(),
      std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch()));
  const config::Generation& generation = *startup.history.Find(startup.history.kept);
  startup.sources.operators_file.text = generation.document;
  if (generation.document != operators_text)
    startup.sources.operators_file.name = fmt::format("generation {}", generation.number);
  startup.config = MakeConfig(startup.sources);
  startup.load_errors = file_errors;
  if (!history_error.empty())
    startup.load_errors += (startup.load_errors.empty() ? "" : "; ") + history_error;
  return startup;
}

// Returns the sources with the last good platform file in place of the unusable one, or nothing if no last
// good file is kept.
std::optional<config::Sources> LastGoodSources(const std::map<std::string, std::string>& environment,
                                               const std::string& operators_path) {
  const auto platform_path = environment.find("EDGE_CONFIG");
  if (platform_path == environment.end() || platform_path->second.empty()) return std::nullopt;
  auto without_platform = environment;
  without_platform.erase("EDGE_CONFIG");
  config::Sources sources;
  if (!operators_path.empty()) sources = ReadSources(without_platform, operators_path);
  sources.environment = environment;
  const std::string folder = StateFolderOf(sources);
  if (folder.empty()) return std::nullopt;
  const std::optional<std::string> text = LastGoodFile(folder).Load();
  if (!text) return std::nullopt;
  sources.platform = {true, kLastGoodName, *text};
  return sources;
}

// Returns the startup configuration built from the last good platform file, or nothing if that file can't be
// used either.
std::optional<StartupConfig> StartupConfigFromLastGood(const std::map<std::string, std::string>& environment,
                                                       const std::string& operators_path,
                                                       const StepHook& step) {
  try {
    auto sources = LastGoodSources(environment, operators_path);
    if (!sources) return std::nullopt;
    return MakeStartupConfig(std::move(*sources), operators_path, step);
  } catch (const ConfigError&) {
    return std::nullopt;
  }
}

}  // namespace

std::string LoadLastGoodAsInForce(config::Sources& sources) {
  const std::string folder = StateFolderOf(sources);
  if (folder.empty() || !sources.platform.given) return "";
  const std::optional<std::string> text = LastGoodFile(folder).Load();
  if (!text) return "";
  const config::ParsedObject parsed = config::ParseObject(*text, kLastGoodName);
  std::vector<config::ConfigFault> faults = parsed.faults;
  // A last good file that no node could use must not be the reference for another document.
  if (faults.empty()) {
    const auto base_layer =
        sources.operators_file.given ? config::BaseLayer::kOperatorsFile : config::BaseLayer::kNone;
    faults = config::CheckPlatformDocument(parsed.value, kLastGoodName, base_layer);
  }
  if (!faults.empty()) return config::ToText(faults, "; ");
  sources.platform_in_force = {true, kLastGoodName, *text};
  return "";
}

StartupConfig LoadStartupConfig(const std::map<std::string, std::string>& environment,
                                const std::string& operators_path, const StepHook& step) {
  try {
    config::Sources sources = ReadSources(environment, operators_path);
    const std::string last_good_faults = LoadLastGoodAsInForce(sources);
    StartupConfig startup = MakeStartupConfig(std::move(sources), operators_path, step);
    startup.sources.platform_in_force = {};
    if (!last_good_faults.empty())
      startup.load_errors += (startup.load_errors.empty() ? "" : "; ") + last_good_faults;
    return startup;
  } catch (const ConfigError& error) {
    // A running process keeps its configuration when it reads a file that is malformed, half written or
    // missing. A starting process does the same, as it must deliver what its predecessor accepted.
    std::optional<StartupConfig> last_good = StartupConfigFromLastGood(environment, operators_path, step);
    if (!last_good) throw;
    last_good->load_errors =
        error.what() + (last_good->load_errors.empty() ? "" : "; " + last_good->load_errors);
    return std::move(*last_good);
  }
}

}  // namespace indigosaddle::node

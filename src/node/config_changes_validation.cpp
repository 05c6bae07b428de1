// Checks whether a proposed operator's configuration may come into force in the running node.
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node/config_changes.h"

namespace indigosaddle::node {
namespace {

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    lines.push_back(text.substr(from, end - from));
    from = end + 1;
  }
  return lines;
}

}  // namespace

std::optional<Config> ConfigChanges::Validate(const std::string& document, std::vector<std::string>& faults,
                                              bool undo) const {
  config::Sources sources = sources_;
  sources.operators_file.text = document;
  sources.operators_file.name = "change";
  const Config& running = owner_.running();
  Config next;
  try {
    next = MakeConfig(sources);
  } catch (const ConfigError& error) {
    faults = Lines(error.what());
    return std::nullopt;
  }
  if (undo) return next;
  for (const std::string& path : PathsNeedingRestart(running, next))
    faults.push_back(path + ": changes only with a restart");
  for (const auto& [name, number] : running.classes) {
    const std::size_t held = next.classes.contains(name) ? 0 : owner_.HeldMessages(name, "");
    if (held > 0) {
      faults.push_back(
          fmt::format("classes[{}]: can't be removed while {} of its messages are held", name, held));
    }
  }
  for (const auto& [name, number] : running.tenants) {
    const std::size_t held = next.tenants.contains(name) ? 0 : owner_.HeldMessages("", name);
    if (held > 0) {
      faults.push_back(
          fmt::format("tenants[{}]: can't be removed while {} of its messages are held", name, held));
    }
  }
  if (!faults.empty()) return std::nullopt;
  return next;
}

config::Proposal ConfigChanges::Validated(config::Proposal proposal) const {
  proposal.faults.clear();
  const auto next = Validate(proposal.document, proposal.faults, false);
  proposal.no_change =
      next.has_value() &&
      config::Differences(owner_.running().shown, WithRuntimeChanges(owner_.running(), *next).shown).empty();
  return proposal;
}

}  // namespace indigosaddle::node

// Handles the control socket's requests about the configuration: apply, rollback, history and show.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "node/config_changes.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

// The text of a field; empty if it is absent or no text. It is cut to one byte over the longest document that
// is accepted, so that the check still finds a longer one too long.
std::string TextField(const json& request, const char* name) {
  const auto it = request.find(name);
  return it != request.end() && it->is_string()
             ? it->get<std::string>().substr(0, config::kMaxDocumentBytes + 1)
             : "";
}

// What is wrong with the request's fields; empty if nothing.
std::string RequestError(const json& request, const std::string& op) {
  if (op == "apply" && !request.value("document", json()).is_string()) return "apply takes a document";
  if (op == "rollback" && request.contains("generation") && !request["generation"].is_number_unsigned())
    return "rollback takes the number of a generation, or none for the one before";
  return "";
}

}  // namespace

std::uint64_t ConfigChanges::IssueTicket(const Answer& answer) {
  pending_answers_.emplace(++last_ticket_, answer);
  return last_ticket_;
}

bool ConfigChanges::HandleRequest(const json& request, const Answer& answer) {
  const std::string op = TextField(request, "op");
  const bool modifies_config = op == "apply" || op == "rollback";
  if (modifies_config && store_ == nullptr) {
    answer({{"ok", false}, {"text", "the node has no operator's file: start it with --config"}});
    return true;
  }
  if (const std::string error = RequestError(request, op); !error.empty()) {
    answer({{"ok", false}, {"text", error}});
    return true;
  }
  if (op == "apply") {
    config::Proposal proposal;
    proposal.ticket = IssueTicket(answer);
    proposal.author = TextField(request, "author").substr(0, 64);
    proposal.reason = TextField(request, "reason").substr(0, 256);
    proposal.document = TextField(request, "document");
    proposal.queue_if_busy = request.value("wait", json(false)) == json(true);
    HandleEvent(config::Proposed{Validated(std::move(proposal)), loop_.Now()});
  } else if (op == "rollback") {
    HandleEvent(config::RollbackRequested{IssueTicket(answer), request.value("generation", std::uint64_t{0}),
                                          TextField(request, "author").substr(0, 64),
                                          TextField(request, "reason").substr(0, 256), loop_.Now()});
  } else if (op == "history") {
    answer({{"ok", true}, {"generations", config::HistoryAsJson(transactions_.history())}});
  } else if (op == "show") {
    json values = json::array();
    for (const config::ShownValue& shown : owner_.running().shown) {
      values.push_back({{"path", shown.path}, {"value", shown.value}, {"from", shown.source}});
    }
    answer({{"ok", true}, {"values", values}});
  } else {
    return false;
  }
  return true;
}

json ConfigChanges::Status() const {
  const Micros left =
      transactions_.on_trial() ? std::max(Micros(0), transactions_.trial_ends() - loop_.Now()) : Micros(0);
  return {{"generation", transactions_.in_force()},
          {"kept", transactions_.history().kept},
          {"on_trial", transactions_.on_trial()},
          {"trial_left_ms", left.count() / 1000},
          {"waiting", transactions_.queued()},
          {"platform_document", PlatformDocumentHash()},
          {"taken", reloads_},
          {"refused", reload_errors_},
          {"last_refusal", last_reload_error_}};
}

}  // namespace indigosaddle::node

// Requests about the configuration that come by the control socket.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "node/changes.h"

namespace indigosaddle::node {
namespace {

using nlohmann::json;

std::string Ask(const json& request, const char* name) {
  const auto it = request.find(name);
  return it != request.end() && it->is_string()
             ? it->get<std::string>().substr(0, config::kMaxDocumentBytes + 1)
             : "";
}

// What is asked, but can't be done as it is written; empty: nothing.
std::string Missing(const json& request, const std::string& op) {
  if (op == "apply" && !request.value("document", json()).is_string()) return "apply takes a document";
  if (op == "rollback" && request.contains("generation") && !request["generation"].is_number_unsigned())
    return "rollback takes the number of a generation, or none for the one before";
  return "";
}

}  // namespace

std::uint64_t Changes::Ticket(const Answer& answer) {
  tickets_.emplace(++last_ticket_, answer);
  return last_ticket_;
}

bool Changes::Request(const json& request, const Answer& answer) {
  const std::string op = Ask(request, "op");
  const bool changes = op == "apply" || op == "rollback";
  if (changes && store_ == nullptr) {
    answer({{"ok", false}, {"text", "the node has no operator's file: start it with --config"}});
    return true;
  }
  if (const std::string missing = Missing(request, op); !missing.empty()) {
    answer({{"ok", false}, {"text", missing}});
    return true;
  }
  if (op == "apply") {
    config::Proposal proposal;
    proposal.ticket = Ticket(answer);
    proposal.author = Ask(request, "author").substr(0, 64);
    proposal.reason = Ask(request, "reason").substr(0, 256);
    proposal.document = Ask(request, "document");
    proposal.queue_if_busy = request.value("wait", json(false)) == json(true);
    Feed(config::Proposed{Judged(std::move(proposal)), loop_.Now()});
  } else if (op == "rollback") {
    Feed(config::RollbackRequested{Ticket(answer), request.value("generation", std::uint64_t{0}),
                                   Ask(request, "author").substr(0, 64),
                                   Ask(request, "reason").substr(0, 256), loop_.Now()});
  } else if (op == "history") {
    answer({{"ok", true}, {"generations", config::HistoryAsJson(transactions_.history())}});
  } else if (op == "show") {
    json all = json::array();
    for (const config::ShownValue& shown : owner_.running().shown) {
      all.push_back({{"path", shown.path}, {"value", shown.value}, {"from", shown.source}});
    }
    answer({{"ok", true}, {"values", all}});
  } else {
    return false;
  }
  return true;
}

json Changes::Status() const {
  const Micros left =
      transactions_.on_trial() ? std::max(Micros(0), transactions_.trial_ends() - loop_.Now()) : Micros(0);
  return {{"generation", transactions_.in_force()},
          {"kept", transactions_.history().kept},
          {"on_trial", transactions_.on_trial()},
          {"trial_left_ms", left.count() / 1000},
          {"waiting", transactions_.queued()},
          {"platform_document", DocumentInForce()},
          {"taken", reloads_},
          {"refused", reload_errors_},
          {"last_refusal", last_refusal_}};
}

}  // namespace indigosaddle::node

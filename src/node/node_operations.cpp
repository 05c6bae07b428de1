// Operations on a running node: a new configuration, a new address of discovery, and quiescing it for a
// front (a proxy that spreads clients over the nodes).
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "base/log_events.h"
#include "node/node.h"
#include "node/resource_shares.h"

namespace indigosaddle::node {
namespace {

using std::chrono::milliseconds;

// How often a quiesced node disconnects clients that are between two requests. A front goes on to send new
// connections for a short while until it notices, and these are disconnected in the same way.
constexpr Micros kDisconnectIdleInterval = milliseconds(50);

}  // namespace

void Node::Reload() {
  if (!May(Action::kReloadConfiguration)) return log_.Write(base::kReloadIgnored, NameOf(lifecycle_.phase()));
  config_changes_.Reload();
}

std::size_t Node::HeldMessages(const std::string& message_class, const std::string& tenant) const {
  std::size_t count = 0;
  for (const auto& [serial, pending] : state_.pending) {
    const bool matches = message_class.empty() ? pending.message.tenant == tenant
                                               : pending.message.message_class == message_class;
    if (matches && !pending.ended) ++count;
  }
  return count;
}

// Puts a configuration in force. Called from the loop, never from within a turn. The turn that it runs
// applies it everywhere: in the reducer, in the decision engine, and in what the engine decides on it.
void Node::ApplyConfig(Config next) {
  Did(Action::kReloadConfiguration);
  const std::string old_address = config_.discovery;
  LogRuleChanges(next);
  config_ = WithinDescriptors(std::move(next), config_.sockets);
  rules_.Change(config_, loop_.Now());
  SaveRules();
  server_.SetLimits(ServerLimits(config_));
  log_.Configure(config_.log);
  if (config_.discovery != old_address) {
    log_.Write(base::kDiscoveryAddressChanged, old_address, config_.discovery);
    MoveDiscovery();
  }
  PushSettings();
  RunTurn();
}

DiscoveryTarget Node::DiscoveryInForce() const {
  const bool on_request = config_.settings.discovery == Discovery::kOnRequest;
  const Micros must_ask_in = on_request ? config_.settings.must_ask_in : Micros(0);
  return {config_.discovery, net::RequestPacingFor(config_.settings.senders, must_ask_in),
          config_.settings.seed};
}

// Notices do not wait for the list, as the platform accepts them at the new address also while discovery is
// down; until it has sent its list they go to the old address where the new one does not accept them.
void Node::MoveDiscovery() {
  discovery_.MoveTo(DiscoveryInForce());
  if (discovery_.moving()) return notices_.SetAddress(config_.discovery, discovery_.address_in_use());
  notices_.SetAddress(config_.discovery);
}

void Node::OnControlRequest(std::uint64_t peer, std::string_view line) {
  using nlohmann::json;
  const auto answer = [this, peer](const json& reply) {
    control_->Answer(peer, reply.dump(-1, ' ', false, json::error_handler_t::replace));
  };
  const json request = json::parse(line, nullptr, false);
  if (!request.is_object()) return answer({{"ok", false}, {"text", "expected one JSON object"}});
  if (request.value("op", json()) == json("status")) return answer(Status());
  if (lifecycle_.stopping() && !May(Action::kReloadConfiguration))
    return answer({{"ok", false}, {"text", "the node is stopping"}});
  if (!config_changes_.HandleRequest(request, answer)) answer({{"ok", false}, {"text", "unknown op"}});
}

net::AdminResponse Node::OnAdminRequest(std::string_view method, std::string_view path) {
  const bool is_get = method == "GET" || method == "HEAD";
  const auto answer_if = [&](bool allowed, auto&& answer) -> net::AdminResponse {
    if (!allowed) return {405, fmt::format("{} takes {}\n", path, is_get ? "POST" : "GET")};
    return answer();
  };
  if (path == "/admin/health") {
    return answer_if(is_get, [&]() -> net::AdminResponse {
      return {lifecycle_.phase() == Phase::kServing ? 200 : 503, fmt::format("{}\n", StateName())};
    });
  }
  if (path == "/admin/stats")
    return answer_if(is_get, [&]() -> net::AdminResponse { return {200, Metrics()}; });
  if (path == "/admin/quiesce") {
    return answer_if(method == "POST", [&]() -> net::AdminResponse {
      Quiesce();
      return {200, fmt::format("quiesced; {} messages open\n", state_.open())};
    });
  }
  if (path == "/admin/resume") {
    return answer_if(method == "POST", [&]() -> net::AdminResponse {
      if (lifecycle_.stopping()) return {503, "stopping\n"};
      ResumeWork();
      return {200, "ready\n"};
    });
  }
  return {404, "no such call; there are /admin/health, /admin/stats, /admin/quiesce and /admin/resume\n"};
}

// A front polls PING and sends no new clients once the reply is an error. Clients that stay connected are
// disconnected once they are between two requests. Messages that the node holds are delivered as usual.
void Node::Quiesce() {
  if (lifecycle_.stopping()) return;
  if (lifecycle_.phase() != Phase::kQuiesced)
    log_.Write(base::kQuiesced, state_.open(), server_.connections());
  lifecycle_.Quiesce(loop_.Now());
  server_.SetReady(false);
  disconnect_idle_timer_.Start(kDisconnectIdleInterval);
}

void Node::ResumeWork() {
  if (lifecycle_.phase() == Phase::kQuiesced)
    log_.Write(base::kQuiesceEnded, state_.open(), server_.connections());
  lifecycle_.Resume(loop_.Now());
  server_.SetReady(true);
  disconnect_idle_timer_.Stop();
}

void Node::DisconnectIdleClients() {
  if (lifecycle_.phase() != Phase::kQuiesced || !May(Action::kDisconnectClients)) return;
  server_.DisconnectIdle(false);
  disconnect_idle_timer_.Start(kDisconnectIdleInterval);
}

const char* Node::StateName() const {
  if (lifecycle_.stopping()) return "stopping";
  if (lifecycle_.standby()) return "standby";
  return lifecycle_.phase() == Phase::kQuiesced ? "quiesced" : "ready";
}

}  // namespace indigosaddle::node

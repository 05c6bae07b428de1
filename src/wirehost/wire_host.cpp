#include "wirehost/wire_host.h"

#include <istream>
#include <ostream>
#include <type_traits>
#include <utility>
#include <vector>

namespace indigosaddle::wirehost {

// One instance: passes events to its decision engine and the engine's actions to the encoder.
class WireHost::Instance : public Host {
 public:
  Instance(std::int64_t node, wire::Encoder& encoder, const Settings& settings)
      : node_(node), encoder_(encoder), classes_(settings.classes), brain_(MakeBrain(settings, *this)) {}

  void Send(MessageId id, const EndpointId& endpoint, Micros timeout) override {
    encoder_.Send(node_, id, endpoint, timeout);
  }
  bool Refuse(MessageId id, Micros retry_after, GiveUpCause) override {
    encoder_.Refuse(node_, id, retry_after);
    return true;
  }
  bool Fail(MessageId id, GiveUpCause) override {
    encoder_.Fail(node_, id);
    return true;
  }
  void SetTimer(Micros at) override { encoder_.Sleep(node_, at, ++timers_); }
  void Watch() override { encoder_.Watch(node_, true); }
  void CloseIdle(const EndpointId& endpoint) override { encoder_.CloseIdle(node_, endpoint); }

  void Dispatch(const wire::Event& event) {
    std::visit(
        [this](const auto& body) {
          using Body = std::decay_t<decltype(body)>;
          if constexpr (std::is_same_v<Body, wire::Announce>) {
            if (body.mode == wire::ListMode::kFailed) {
              brain_->OnListFailed();
            } else {
              brain_->OnList(*body.entries, body.mode != wire::ListMode::kChanges);
            }
          } else if constexpr (std::is_same_v<Body, Message>) {
            brain_->OnMessage(WithRules(body));
          } else if constexpr (std::is_same_v<Body, Outcome>) {
            brain_->OnOutcome(body);
          } else if constexpr (std::is_same_v<Body, wire::Withdrawn>) {
            brain_->OnWithdrawn(body.id);
          }
        },
        event.body);
  }

  Brain& brain() { return *brain_; }
  bool in_turn = false;  // it has had an event in the current batch

 private:
  // Sets the repeat rules of the message's class. The simulator's settings stay in force as long as an
  // instance runs, and so for the whole life of each message.
  Message WithRules(Message message) const {
    const auto number = static_cast<std::size_t>(message.message_class);
    if (number < classes_.size()) message.rules = classes_[number];
    return message;
  }

  std::int64_t node_;
  wire::Encoder& encoder_;
  std::vector<ClassSettings> classes_;
  std::uint64_t timers_ = 0;  // number of timers set; also the latest token
  std::unique_ptr<Brain> brain_;
};

WireHost::WireHost(std::ostream& notes) : notes_(notes) {}
WireHost::~WireHost() = default;

WireHost::Instance* WireHost::FindRunning(std::int64_t node) {
  auto it = instances_.find(node);
  if (it != instances_.end()) return it->second.get();
  if (noted_not_running_.insert(node).second)
    notes_ << "passing over events for node " << node << ": not running\n";
  return nullptr;
}

std::string WireHost::Handle(const wire::Batch& batch) {
  std::vector<std::int64_t> active;  // instances with events in this batch
  for (const wire::Event& event : batch.events) {
    if (const auto* configure = std::get_if<wire::Configure>(&event.body)) {
      instances_[event.node] = std::make_unique<Instance>(event.node, encoder_, configure->settings);
    } else if (std::holds_alternative<wire::Kill>(event.body)) {
      if (FindRunning(event.node) != nullptr) instances_.erase(event.node);
      continue;
    }
    Instance* instance = FindRunning(event.node);
    if (instance == nullptr) continue;
    if (!instance->in_turn) {
      instance->in_turn = true;
      instance->brain().OnTurnStart(batch.now);
      active.push_back(event.node);
    }
    instance->Dispatch(event);
  }
  for (std::int64_t node : active) {
    auto it = instances_.find(node);
    if (it == instances_.end() || !it->second->in_turn)
      continue;  // killed in this batch, or its turn has ended
    it->second->in_turn = false;
    it->second->brain().OnTurnEnd();
  }
  return encoder_.Finish();
}

int Serve(std::istream& in, std::ostream& out, std::ostream& errors) {
  wire::Decoder decoder(in, errors);
  WireHost host(errors);
  try {
    while (const auto batch = decoder.Next()) out << host.Handle(*batch) << std::flush;
  } catch (const wire::WireError& error) {
    errors << "indigosaddle_wirehost: " << error.what() << '\n';
    return 2;
  }
  return out.good() ? 0 : 1;
}

}  // namespace indigosaddle::wirehost

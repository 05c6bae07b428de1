// The part of FleetMember that concerns leases, connectivity, agreed facts and the snapshot.
#include <algorithm>

#include "fleet/fleet.h"

namespace indigosaddle::fleet {

// Messages to this process itself are answered at once, the others are sent. Answers may produce further
// messages.
void FleetMember::Dispatch(const Proposer::LeaseMessages& messages, Micros now, Actions& actions) {
  Proposer::LeaseMessages more;
  for (const auto& [to, message] : messages) {
    if (to == options_.name) {
      const auto answer = acceptor_.Answer(message, now, actions.persist);
      const auto it = proposers_.find(message.resource);
      if (answer && it != proposers_.end()) it->second.OnMessage(to, *answer, now, more);
    } else {
      Packet packet = MakePacket(PacketKind::kLease);
      packet.leases.push_back(message);
      actions.packets.emplace_back(to, std::move(packet));
    }
  }
  if (!more.empty()) Dispatch(more, now, actions);
}

bool FleetMember::FilesDiffer(Micros now) const {
  return voters_differed_at_ && now - *voters_differed_at_ < 2 * options_.timing.lease;
}

bool FleetMember::MayHoldLeases(Micros now) const {
  return !leaving_ && !members_.superseded() && !FilesDiffer(now);
}

bool FleetMember::InQuorumContact(Micros now) const {
  const auto confirmed = quorum_contact_.LastConfirmed(now);
  return confirmed && now - *confirmed <= options_.timing.lease;
}

bool FleetMember::CaughtUp() const {
  return (state_received_from_.size() + (votes_ ? 1 : 0)) * 2 > voters_.size();
}

// After contact with a majority is regained, what is agreed may have changed meanwhile. So this process does
// not count as connected until a majority of the voters has sent all it knows; here it asks for that.
void FleetMember::UpdateContactAndCatchUp(Micros now, Actions& actions) {
  const bool in_contact = InQuorumContact(now);
  if (in_contact != in_contact_) {
    state_received_from_.clear();
    catch_up_at_ = now;
  }
  in_contact_ = in_contact;
  was_connected_ |= in_contact && CaughtUp();
  if (!in_contact || CaughtUp() || now < catch_up_at_) return;
  catch_up_at_ = now + options_.timing.probe_every / 2;
  for (const std::string& voter : voters_)
    if (voter != options_.name && !state_received_from_.contains(voter)) actions.exchanges.push_back(voter);
}

void FleetMember::OnLeases(const Packet& packet, Micros now, Actions& actions) {
  Proposer::LeaseMessages messages;
  Packet answers = MakePacket(PacketKind::kLease);
  for (const LeaseMessage& message : packet.leases) {
    switch (message.kind) {
      case LeaseKind::kPrepare:
      case LeaseKind::kPropose:
      case LeaseKind::kRelease:
        if (!votes_) break;
        if (auto answer = acceptor_.Answer(message, now, actions.persist))
          answers.leases.push_back(std::move(*answer));
        break;
      case LeaseKind::kRecoveryRequest:
        if (votes_) answers.leases = acceptor_.RecoveryReplies();
        break;
      case LeaseKind::kRecoveryReply: break;  // handled below, all of a packet together
      case LeaseKind::kPromise:
      case LeaseKind::kReject:
      case LeaseKind::kAccept:
        if (const auto it = proposers_.find(message.resource); it != proposers_.end())
          it->second.OnMessage(packet.from, message, now, messages);
    }
  }
  if (!packet.leases.empty() && packet.leases.front().kind == LeaseKind::kRecoveryReply)
    acceptor_.OnRecoveryReply(packet.from, packet.leases, actions.persist);
  if (!answers.leases.empty()) actions.packets.emplace_back(packet.from, std::move(answers));
  Dispatch(messages, now, actions);
}

// Number of members that may be sending: those present, and those declared dead less than a lease's term ago.
// Those that have left do not count.
std::size_t FleetMember::Senders(Micros now) const {
  std::size_t count = 1;
  for (const auto& [name, member] : members_.all()) {
    const bool may_linger = member.known && member.latest.liveness == Liveness::kDead &&
                            now - member.since < options_.timing.lease;
    if (member.present() || may_linger) ++count;
  }
  return count;
}

// Where this member holds the coordinator's lease, it writes the agreed facts.
void FleetMember::Coordinate(Micros now) {
  const auto leases = Leases(now);
  const auto it = leases.find(kCoordinator);
  if (it == leases.end()) return;
  WriteFact(kSendersFact, std::to_string(Senders(now)), it->second.epoch);
  CoordinateSites(it->second.epoch, now);
}

std::map<std::string, LeaseView> FleetMember::Leases(Micros now) const {
  std::map<std::string, LeaseView> leases;
  for (const auto& [resource, proposer] : proposers_) {
    if (proposer.Holds(now) && MayHoldLeases(now)) leases[resource] = {proposer.epoch(), proposer.until()};
  }
  return leases;
}

Snapshot FleetMember::View(Micros now) const {
  Snapshot view;
  view.quorum_confirmed_at = quorum_contact_.LastConfirmed(now);
  view.connectivity = in_contact_ && InQuorumContact(now) && CaughtUp() ? Connectivity::kConnected
                      : was_connected_                                  ? Connectivity::kIsolated
                                                                        : Connectivity::kJoining;
  view.present = members_.present();
  view.superseded = members_.superseded();
  view.files_differ = FilesDiffer(now);
  view.health_penalty = prober_.health_penalty();
  const Fact* fact = facts_.Find(kSendersFact);
  const auto agreed = fact != nullptr ? ParseSenders(fact->value) : std::nullopt;
  if (agreed && was_connected_) view.senders = std::max(*agreed, view.present);
  for (const auto& [name, member] : members_.all()) {
    view.members.push_back(
        {name, member.peer.site, member.latest.liveness, member.known, member.latest.start});
  }
  view.leases = Leases(now);
  view.facts = facts_.all();
  view.sites = SitesAgreed();
  return view;
}

}  // namespace indigosaddle::fleet

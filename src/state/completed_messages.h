// What became of ids that are over, until their messages' time is: a command that comes again is the same
// message, and gets the answer that the first one had. A part of the reducer's state.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "brain.h"
#include "state/effects.h"
#include "state/journal.h"

namespace indigosaddle::state {

// Messages that were taken on and are over. They outlive the process: a rewritten journal has them, without
// their bodies.
class CompletedMessages {
 public:
  struct Entry {
    AcceptedMessage message;  // without its body
    MessageEnd end = MessageEnd::kNoNotice;
    std::size_t bytes = 0;  // of its records in a journal
  };

  void Add(AcceptedMessage taken, MessageEnd end) {
    const Serial serial = taken.serial;
    Remove(serial);
    taken.body.clear();
    const std::size_t bytes = RecordSize(taken) + RecordSize(MessageEnded{serial, end, Micros(0)});
    by_id_[taken.id] = serial;
    by_time_.emplace(taken.give_up_at, serial);
    bytes_ += bytes;
    entries_.emplace(serial, Entry{std::move(taken), end, bytes});
  }
  // To so many bytes of a journal: those that are over first go first.
  void LimitTo(std::size_t bytes) {
    while (bytes_ > bytes) Remove(by_time_.begin()->second);
  }
  // Those whose time is over.
  void Forget(Micros now) {
    while (!by_time_.empty() && by_time_.begin()->first <= now) Remove(by_time_.begin()->second);
  }
  void Remove(Serial serial) {
    const auto it = entries_.find(serial);
    if (it == entries_.end()) return;
    const AcceptedMessage& taken = it->second.message;
    const auto id = by_id_.find(taken.id);
    if (id != by_id_.end() && id->second == serial) by_id_.erase(id);
    by_time_.erase({taken.give_up_at, serial});
    bytes_ -= it->second.bytes;
    entries_.erase(it);
  }
  const Entry* Find(Serial serial) const {
    const auto it = entries_.find(serial);
    return it == entries_.end() ? nullptr : &it->second;
  }
  bool Has(const std::string& id) const { return by_id_.contains(id); }
  const std::map<Serial, Entry>& entries() const { return entries_; }
  std::size_t bytes() const { return bytes_; }

 private:
  std::map<Serial, Entry> entries_;
  std::unordered_map<std::string, Serial> by_id_;
  std::set<std::pair<Micros, Serial>> by_time_;
  std::size_t bytes_ = 0;
};

// Messages that were refused or failed at the door. Their clients were promised that nothing runs, and come
// again under other ids; a copy of the command comes within about the time that a client waits.
class RecentRefusals {
 public:
  static constexpr Micros kRememberedFor = std::chrono::milliseconds(500);
  static constexpr std::size_t kMaxRemembered = 10000;

  void Add(const std::string& id, Answer answer, Micros at) {
    Forget(at);
    if (!answers_.emplace(id, answer).second) return;  // by the first of several
    by_time_.emplace(at + kRememberedFor, id);
    if (by_time_.size() > kMaxRemembered) Drop(by_time_.begin());
  }
  void Forget(Micros now) {
    while (!by_time_.empty() && by_time_.begin()->first <= now) Drop(by_time_.begin());
  }
  // Nothing: it was not refused lately.
  const Answer* Find(const std::string& id) const {
    const auto it = answers_.find(id);
    return it == answers_.end() ? nullptr : &it->second;
  }

 private:
  using ByTime = std::multimap<Micros, std::string>;
  void Drop(ByTime::iterator at) {
    answers_.erase(at->second);
    by_time_.erase(at);
  }

  std::unordered_map<std::string, Answer> answers_;
  ByTime by_time_;
};

}  // namespace indigosaddle::state

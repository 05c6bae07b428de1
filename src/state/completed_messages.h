// How messages ended, remembered until their deadline: a command with the same id is the same message, and
// gets the answer that the first command got. A part of the reducer's state.
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

// Accepted messages that have ended. They outlive the process: a rewritten journal holds them, without their
// bodies.
class CompletedMessages {
 public:
  struct Entry {
    // Without its body.
    AcceptedMessage message;
    MessageEnd end = MessageEnd::kNoNotice;
    // Size of its records in a journal.
    std::size_t bytes = 0;
  };

  // Adds a message, in place of an earlier entry with its serial.
  void Add(AcceptedMessage message, MessageEnd end) {
    const Serial serial = message.serial;
    Remove(serial);
    message.body.clear();
    const std::size_t bytes = RecordSize(message) + RecordSize(MessageEnded{serial, end, Micros(0)});
    by_id_[message.id] = serial;
    by_time_.emplace(message.deadline, serial);
    bytes_ += bytes;
    entries_.emplace(serial, Entry{std::move(message), end, bytes});
  }
  // Limits the entries to this many bytes of a journal: those with the earliest deadline are removed first.
  void LimitTo(std::size_t bytes) {
    while (bytes_ > bytes) Remove(by_time_.begin()->second);
  }
  // Removes the messages whose deadline has passed.
  void Forget(Micros now) {
    while (!by_time_.empty() && by_time_.begin()->first <= now) Remove(by_time_.begin()->second);
  }
  // Does nothing where the serial is not known.
  void Remove(Serial serial) {
    const auto it = entries_.find(serial);
    if (it == entries_.end()) return;
    const AcceptedMessage& message = it->second.message;
    const auto id = by_id_.find(message.id);
    if (id != by_id_.end() && id->second == serial) by_id_.erase(id);
    by_time_.erase({message.deadline, serial});
    bytes_ -= it->second.bytes;
    entries_.erase(it);
  }
  // Null: not known. Valid until the entry is removed.
  const Entry* Find(Serial serial) const {
    const auto it = entries_.find(serial);
    return it == entries_.end() ? nullptr : &it->second;
  }
  // Whether a message with this AcceptedMessage::id is known.
  bool Has(const std::string& id) const { return by_id_.contains(id); }
  const std::map<Serial, Entry>& entries() const { return entries_; }
  // Size of all records in a journal.
  std::size_t bytes() const { return bytes_; }

 private:
  std::map<Serial, Entry> entries_;
  std::unordered_map<std::string, Serial> by_id_;
  std::set<std::pair<Micros, Serial>> by_time_;
  std::size_t bytes_ = 0;
};

// Messages that were refused or failed in the turn in which they came, by AcceptedMessage::id. Their clients
// were promised that nothing runs, and try again with other ids; a copy of the command arrives within about
// the time that a client waits for an answer.
class RecentRefusals {
 public:
  // How long an answer is remembered.
  static constexpr Micros kRememberedFor = std::chrono::milliseconds(500);
  // Beyond this the oldest answers are dropped.
  static constexpr std::size_t kMaxRemembered = 10000;

  // Remembers the answer to a command that was read at `at`.
  void Add(const std::string& id, Answer answer, Micros at) {
    Forget(at);
    if (!answers_.emplace(id, answer).second) return;  // the first answer stands
    by_time_.emplace(at + kRememberedFor, id);
    if (by_time_.size() > kMaxRemembered) Drop(by_time_.begin());
  }
  // Drops the answers that were remembered long enough.
  void Forget(Micros now) {
    while (!by_time_.empty() && by_time_.begin()->first <= now) Drop(by_time_.begin());
  }
  // Null: not refused lately.
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

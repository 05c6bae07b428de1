// Keeps the history of the rules for repeats and order (brain/repeat_rules.h) in the file `rules` of the
// state folder: rules that were in force before a process started apply to older messages that are enqueued
// at it. A successor reads the file of its predecessor, and writes it once it owns the folder.
#pragma once

#include <string>

#include "brain/repeat_rules.h"
#include "node/config.h"

namespace indigosaddle::node {

class MessageRules {
 public:
  explicit MessageRules(const std::string& folder) : path_(folder + "/rules") {}

  // Reads the file and puts the rules of `config` in force. `folder_used`: an earlier process served from
  // this folder, so a missing file means that the prior rules are unknown.
  void Start(const Config& config, Micros now, bool folder_used);
  // Puts the rules of `config` in force from now on.
  void Change(const Config& config, Micros now);
  // Adds the changes that the predecessor made since Start. If its file can't be read, it may have changed
  // any rule, and the strictest rules apply to messages that may be older than `now`.
  void TakeOver(Micros now);
  // Writes the history if it has changed since the last write. Returns false on failure; the next call tries
  // again.
  bool Save();

  // The rules for an enqueued message of this class.
  ApplicableRules RulesFor(const std::string& message_class, const EnqueueFacts& enqueue) const {
    return history_.RulesFor(message_class, enqueue);
  }
  // Whether the prior rules are known, by the latest of Start and TakeOver: the file was read whole, or at
  // Start there was none in a folder from which no process had served.
  bool prior_rules_known() const { return prior_rules_known_; }

 private:
  enum class LoadResult { kNoFile, kHistory, kDamaged };
  LoadResult Load(RuleHistory::Spans& spans) const;

  const std::string path_;
  RuleHistory history_;
  bool prior_rules_known_ = true, saved_ = false;
};

}  // namespace indigosaddle::node

// The rules that messages are born under (brain/repeat_rules.h), kept in the folder's file `rules`: what was
// in force before a process began binds what is handed in to it. A successor reads the file of the process
// that it replaces, and writes it once it owns the folder.
#pragma once

#include <string>

#include "brain/repeat_rules.h"
#include "node/config.h"

namespace indigosaddle::node {

class MessageRules {
 public:
  explicit MessageRules(const std::string& folder) : path_(folder + "/rules") {}

  // `folder_used`: an earlier process served from it, so that a history that is missing is not known.
  void Start(const Config& config, Micros now, bool folder_used);
  void Change(const Config& config, Micros now);  // in force from now on
  // What the process before this one changed meanwhile; its file not readable: it may have changed anything.
  void TakeOver(Micros now);
  bool Save();  // where it failed it may be called again; true where there is nothing to save

  ApplicableRules RulesFor(const std::string& message_class, const EnqueueFacts& hand_in) const {
    return history_.RulesFor(message_class, hand_in);
  }
  // Nothing was missing or damaged at the start, or at the take-over since.
  bool known() const { return known_; }

 private:
  enum class Found { kNothing, kHistory, kDamage };
  Found Load(RuleHistory::Spans& spans) const;

  const std::string path_;
  RuleHistory history_;
  bool known_ = true, saved_ = false;
};

}  // namespace indigosaddle::node

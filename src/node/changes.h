// Changes of the configuration while the node serves: carries out what config::Transactions asks for, feeds
// the guard, keeps the generations in the state folder, and answers the control socket's requests about them.
// Decides nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/log.h"
#include "config/guard.h"
#include "config/store.h"
#include "config/transaction.h"
#include "net/loop.h"
#include "node/beginning.h"
#include "node/config.h"
#include "node/last_good_file.h"

namespace indigosaddle::node {

class Changes {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual const Config& running() const = 0;
    virtual std::size_t HeldOf(const std::string& message_class, const std::string& tenant) const = 0;
    virtual void Adopt(Config next) = 0;  // all at once, between two turns
  };

  Changes(net::Loop& loop, Owner& owner, Beginning beginning, base::Log& log);

  void Start();
  void KeepLastGood();  // the platform's file in force, for a start that can't use the one that it finds
  void Reload();        // SIGHUP: reads both files again
  std::uint64_t reloads() const { return reloads_; }              // taken at SIGHUP
  std::uint64_t reload_errors() const { return reload_errors_; }  // turned down at SIGHUP
  void Stop();    // refuses what is asked for from now on; a trial goes on
  void Freeze();  // nothing is put in force or undone any more; the next process goes on with a trial
  void Count(config::GuardOutcome sign, Micros now) { guard_.Count(sign, now); }

  // One request about the configuration, as a JSON object; `answer` is called once, now or later. False: not
  // its matter.
  using Answer = std::function<void(nlohmann::json)>;
  bool Request(const nlohmann::json& request, const Answer& answer);
  nlohmann::json Status() const;

 private:
  void ReadFiles();
  void Refuse(const ConfigError& error);  // what was read at SIGHUP: the old settings go on, whole
  std::string DocumentInForce() const;    // the platform's, by its hash; empty: there is none
  void Feed(config::TransactionEvent event);
  void Do(const config::Save&);
  void Do(const config::Apply& e);
  void Do(const config::Recheck& e);
  void Do(const config::BeginTrial&);
  void Do(const config::EndTrial&);
  void Do(const config::CancelTrial&);
  void Do(const config::ArmTimer& e);
  void Do(const config::Answer& e);
  void Do(const config::WriteLog& e);

  // Judges a document against what runs now; nothing where it may not be applied.
  std::optional<Config> Judge(const std::string& document, std::vector<std::string>& faults, bool undo) const;
  config::Proposal Judged(config::Proposal proposal) const;
  void Look();
  std::uint64_t Ticket(const Answer& answer);

  net::Loop& loop_;
  Owner& owner_;
  base::Log& log_;
  config::Sources sources_;  // in force
  LastGoodFile last_good_;
  std::uint64_t reloads_ = 0, reload_errors_ = 0;
  std::string last_refusal_;  // every fault of the last file turned down; empty: none was
  const std::string operators_path_;
  const StepHook step_;
  std::unique_ptr<config::Store> store_;  // none without an operator's file
  config::Transactions transactions_;
  config::Guard guard_;
  config::History first_history_;
  std::string first_trouble_;
  std::deque<config::TransactionEvent> events_;
  bool feeding_ = false;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, Answer> tickets_;
  net::Timer due_, look_;
};

}  // namespace indigosaddle::node

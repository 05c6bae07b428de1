// Changes of the configuration while the node serves: by SIGHUP, which reads the files again, and by requests
// on the control socket. Carries out the effects of config::Transactions, reports message outcomes to the
// guard of a trial, and stores the generations and the platform's last good file in the state folder. What is
// refused, kept or rolled back is decided by config::Transactions and config::Guard, not here.
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
#include "node/config.h"
#include "node/last_good_file.h"
#include "node/startup_config.h"

namespace indigosaddle::node {

// Runs on the node's loop. The loop, the owner and the log must outlive it.
class ConfigChanges {
 public:
  // The node whose configuration changes.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The configuration in force.
    virtual const Config& running() const = 0;
    // Number of messages that the node holds of a class, or of a tenant. One of the two names is empty.
    virtual std::size_t HeldMessages(const std::string& message_class, const std::string& tenant) const = 0;
    // Puts the configuration in force as a whole, between two turns.
    virtual void ApplyConfig(Config next) = 0;
    // Why the address of discovery in force keeps the node from using its list for long, as a sentence for
    // operators; empty: it does not.
    virtual std::string DiscoveryMoveFault() const = 0;
  };

  ConfigChanges(net::Loop& loop, Owner& owner, StartupConfig startup, base::Log& log);

  // Logs what the process starts with and begins to handle changes. Called once, before everything else.
  void Start();
  // Saves the platform's document in force to the state folder, for a later start that finds the platform's
  // file unusable. Does nothing if it is saved already.
  void SaveLastGood();
  // Reads both configuration files again, on SIGHUP.
  void Reload();
  // Number of reloads whose platform document was accepted.
  std::uint64_t reloads() const { return reloads_; }
  // Number of reloads that were rejected.
  std::uint64_t reload_errors() const { return reload_errors_; }
  // Refuses all further changes; a trial under way goes on.
  void Stop();
  // Stops the timers: from now on nothing is put in force or rolled back, and a trial under way is left to
  // the next process.
  void Freeze();
  // Counts the outcome of one message for the guard.
  void Count(config::GuardOutcome outcome, Micros now) { guard_.Count(outcome, now); }

  // The node stopped sending because of the address of discovery in force. A change on trial that set it is
  // rolled back: the guard sees nothing, as no message ends meanwhile.
  void OnListOutdatedByMove();

  // Receives the answer to one request, as a JSON object.
  using Answer = std::function<void(nlohmann::json)>;
  // Handles one request of the control socket, a JSON object. `answer` is called exactly once, during this
  // call or later, unless the process ends first. Returns false, without calling `answer`, if the request is
  // not about the configuration.
  bool HandleRequest(const nlohmann::json& request, const Answer& answer);
  // The "configuration" part of the node's status.
  nlohmann::json Status() const;

 private:
  void ReloadFiles();
  // Rejects the files read by a reload as a whole; the settings in force stay.
  void RejectReload(const ConfigError& error);
  // Hash of the platform's document in force; empty if there is none.
  std::string PlatformDocumentHash() const;
  // Passes the event to the state machine and carries out the effects. Events that arise from an effect are
  // queued and handled before the outermost call returns.
  void HandleEvent(config::TransactionEvent event);
  void CarryOut(const config::Save&);
  void CarryOut(const config::Apply& apply);
  void CarryOut(const config::Recheck& check);
  void CarryOut(const config::BeginTrial&);
  void CarryOut(const config::EndTrial&);
  void CarryOut(const config::CancelTrial&);
  void CarryOut(const config::ArmTimer& timer);
  void CarryOut(const config::Answer& answer);
  void CarryOut(const config::WriteLog& entry);

  // Checks an operator's document against the running configuration and the messages held. Returns the
  // configuration that it makes, or nothing, with `faults`, if it may not be applied. For a rollback (`undo`)
  // it only has to be readable.
  std::optional<Config> Validate(const std::string& document, std::vector<std::string>& faults,
                                 bool undo) const;
  // The proposal with the results of its check.
  config::Proposal Validated(config::Proposal proposal) const;
  // Asks the guard whether the change on trial has made things worse.
  void CheckGuard();
  // Why the address of discovery that the change on trial has set is a regression; empty: it is none.
  std::string DiscoveryFaultOfTrial() const;
  // Stores the callback until the transaction answers under the ticket that is returned.
  std::uint64_t IssueTicket(const Answer& answer);

  net::Loop& loop_;
  Owner& owner_;
  base::Log& log_;
  config::Sources sources_;  // in force
  LastGoodFile last_good_;
  std::uint64_t reloads_ = 0, reload_errors_ = 0;
  std::string last_reload_error_;  // all faults of the last reload that was rejected; empty: none was
  const std::string operators_path_;
  const StepHook step_;
  std::unique_ptr<config::Store> store_;  // null without an operator's file
  config::Transactions transactions_;
  config::Guard guard_;
  std::string discovery_on_trial_;  // the address that the change on trial has set; empty: it set none
  config::History start_history_;   // until Start
  std::string start_error_;         // why a file found at the start was unusable; empty: none was
  std::deque<config::TransactionEvent> events_;
  bool handling_events_ = false;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, Answer> pending_answers_;  // by ticket
  net::Timer transaction_timer_, guard_timer_;
};

}  // namespace indigosaddle::node

// The list of endpoints: read whole once, then followed by a watch that is renewed whenever it ends or falls
// silent. Every change is told at once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/backoff.h"
#include "net/http_reader.h"
#include "net/list_clock.h"
#include "net/loop.h"
#include "net/member_list.h"

namespace indigosaddle::net {

class Discovery : private Stream::Listener {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnMembers(MemberNews news) = 0;
    // It is already being renewed. `outdated_from`: from then on the list may count as outdated, unless one
    // comes before; Micros::max() where discovery can't be reached.
    virtual void OnWatchLost(std::string_view reason, Micros outdated_from) = 0;
  };

  Discovery(Loop& loop, Handler& handler, std::string address, const AskPace& pace, std::uint64_t seed);

  // With the version of the list that is held already: only what changed since is asked for.
  void Start(std::optional<std::uint64_t> held = std::nullopt);
  void Renew();                                           // where no watch stands and none is due
  void TellTo(Handler& handler) { handler_ = &handler; }  // from now on; not within a callback

 private:
  void Ask();
  void AskIn(Micros wait);
  void OnConnected(int error) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(int error) override;
  void OnBody(std::string_view bytes);
  void OnSilence();
  enum class Loss : std::uint8_t {
    kEnded,       // by the other side
    kUnreadable,  // or not what was asked for: as one that refuses, but asked again as soon
    kSilent,      // after it had answered
    kUnreached,   // no answer at all
    kRefused,     // by its status
  };
  void Lost(std::string_view reason, Loss loss = Loss::kEnded);
  void Drop();
  void Life();
  void Take(std::string_view json);

  Loop& loop_;
  Handler* handler_;
  std::string address_;
  HttpReader reader_;
  std::unique_ptr<Stream> stream_, buried_;  // buried: may still be in one of its callbacks
  std::string text_;                         // an object of a watch, or the whole list, so far
  std::optional<std::uint64_t> version_;     // nothing: the whole list comes next
  Timer silence_, again_;
  const Micros spread_;
  Backoff lost_, refused_;
  Nesting nesting_;  // of text_, while a line is read
  ListClock clock_;
  Micros asked_at_{0};
  bool watching_ = false, due_ = false;                  // due: again_ runs
  bool up_ = false, headed_ = false, answered_ = false;  // connection, answer's head, a whole line or list
  const Micros first_patience_;
  Micros patience_;  // with a request until its answer's head is in
};

}  // namespace indigosaddle::net

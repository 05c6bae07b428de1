// Node time: microseconds that run on with the system's monotonic clock, through restarts too. The journal's
// instants are in node time, so that deadlines and windows are spans of real time however the wall clock is
// stepped.
//
// The folder's file `clock` says which reading of the monotonic clock was which node time, and of which boot
// of the machine. A process of the same boot goes on from there. Where there is no such file, or it is of
// another boot, node time begins at the wall clock, which is the best that is known then, and the file is
// written anew.
#pragma once

#include <optional>
#include <string>

#include "brain.h"
#include "net/loop.h"

namespace indigosaddle::node {

class NodeClock {
 public:
  // Sets the loop's time; to be made before anything reads it.
  NodeClock(net::Loop& loop, const std::string& folder);

  bool continued() const { return continued_; }  // from an earlier process
  bool saved() const { return saved_; }          // later processes can go on from it
  bool Save();                                   // tries to; where it fails it may be called again
  Micros ahead_of_wall() const;  // node time less the wall clock: what that was stepped back since

 private:
  struct Origin {
    std::string boot;  // the kernel's id of the boot
    Micros monotonic{0}, node_time{0};
  };
  std::optional<Origin> Load() const;  // nothing where the file is not whole, or a value is out of its range

  net::Loop& loop_;
  std::string path_;
  Origin origin_;
  bool continued_ = false, saved_ = false;
};

}  // namespace indigosaddle::node

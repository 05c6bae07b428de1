// Node time: microseconds that advance with the system's monotonic clock, across restarts too. Times in the
// journal are in node time, so that deadlines and windows are spans of real time even if the wall clock is
// stepped.
//
// The file `clock` in the state folder records which reading of the monotonic clock was which node time, and
// in which boot of the machine. A process of the same boot continues from there. If there is no such file, or
// if it is of another boot, node time starts at the wall clock, which is the best estimate then, and the file
// is written again.
#pragma once

#include <optional>
#include <string>

#include "brain.h"
#include "net/loop.h"

namespace indigosaddle::node {

// Sets and keeps the origin of node time. The loop must outlive it.
class NodeClock {
 public:
  // Sets the loop's time. Must be constructed before anything reads that time.
  NodeClock(net::Loop& loop, const std::string& folder);

  // Whether node time continues that of an earlier process.
  bool continued() const { return continued_; }
  // Whether the origin is on disk, so that later processes can continue from it.
  bool saved() const { return saved_; }
  // Writes the origin if it is not saved yet. Returns false where that fails; may be called again.
  bool Save();
  // Node time minus the wall clock: by how much the wall clock has been stepped back since.
  Micros ahead_of_wall() const;

 private:
  // A reading of the monotonic clock and the node time at that instant.
  struct Origin {
    std::string boot;  // the kernel's id of the boot
    Micros monotonic{0}, node_time{0};
  };
  // Reads the saved origin. Nothing if the file is missing or incomplete, or if a value is out of range.
  std::optional<Origin> Load() const;

  net::Loop& loop_;
  std::string path_;
  Origin origin_;
  bool continued_ = false, saved_ = false;
};

}  // namespace indigosaddle::node

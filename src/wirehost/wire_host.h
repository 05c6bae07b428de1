// Runs the decision engine's instances of one process on the simulator's text protocol: starts and kills them
// and dispatches events. No delivery decision is made here.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <set>

#include "brain.h"
#include "wire/codec.h"

namespace indigosaddle::wirehost {

// Owns the instances. Each runs one decision engine.
class WireHost {
 public:
  // Writes one line to `notes` for each instance that gets events but does not run. It must outlive the host.
  explicit WireHost(std::ostream& notes);
  ~WireHost();

  // Dispatches a batch to the instances and returns the complete reply.
  std::string Handle(const wire::Batch& batch);

 private:
  class Instance;

  // The instance of that number, or null if it does not run, which is noted once.
  Instance* FindRunning(std::int64_t node);

  std::ostream& notes_;
  wire::Encoder encoder_;
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
  std::set<std::int64_t> noted_not_running_;  // numbers of instances already noted as not running
};

// Serves batches until the end of input. Returns the exit status: 0, 1 if output failed, or 2 on malformed
// input, which is reported to `errors`.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace indigosaddle::wirehost

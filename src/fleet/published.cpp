#include "fleet/published.h"

#include <urcu/urcu-qsbr.h>

// ThreadSanitizer does not see the order that a grace period gives. These two say it: what a reader did
// before the end of its look happened before whatever follows the writer's wait.
#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
#define INDIGOSADDLE_LOOK_ENDED(at) __tsan_release(const_cast<PublishedSnapshot*>(at))
#define INDIGOSADDLE_LOOKS_ENDED(at) __tsan_acquire(at)
#else
#define INDIGOSADDLE_LOOK_ENDED(at) static_cast<void>(at)
#define INDIGOSADDLE_LOOKS_ENDED(at) static_cast<void>(at)
#endif

namespace indigosaddle::fleet {

PublishedSnapshot::PublishedSnapshot() : current_(new Snapshot()) {}

PublishedSnapshot::~PublishedSnapshot() { delete current_.load(); }

void PublishedSnapshot::Publish(std::unique_ptr<const Snapshot> snapshot) {
  const std::unique_ptr<const Snapshot> old(current_.exchange(snapshot.release(), std::memory_order_acq_rel));
  urcu_qsbr_synchronize_rcu();
  INDIGOSADDLE_LOOKS_ENDED(this);
}

PublishedSnapshot::Reader::Reader(const PublishedSnapshot& published) : published_(published) {
  urcu_qsbr_register_thread();
  urcu_qsbr_thread_offline();
}

PublishedSnapshot::Reader::~Reader() { urcu_qsbr_unregister_thread(); }

PublishedSnapshot::Reader::ReadSection::ReadSection(const Reader& reader) : reader_(reader) {
  urcu_qsbr_thread_online();
}

PublishedSnapshot::Reader::ReadSection::~ReadSection() {
  INDIGOSADDLE_LOOK_ENDED(&reader_.published_);
  urcu_qsbr_thread_offline();
}

}  // namespace indigosaddle::fleet

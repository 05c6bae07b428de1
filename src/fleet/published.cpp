#include "fleet/published.h"

#include <urcu/urcu-qsbr.h>

// ThreadSanitizer does not know the ordering that a grace period guarantees. These two macros declare it:
// what a reader did before the end of its read section happens before what follows the writer's wait.
#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
#define INDIGOSADDLE_READ_SECTION_ENDED(at) __tsan_release(const_cast<PublishedSnapshot*>(at))
#define INDIGOSADDLE_READ_SECTIONS_ENDED(at) __tsan_acquire(at)
#else
#define INDIGOSADDLE_READ_SECTION_ENDED(at) static_cast<void>(at)
#define INDIGOSADDLE_READ_SECTIONS_ENDED(at) static_cast<void>(at)
#endif

namespace indigosaddle::fleet {

PublishedSnapshot::PublishedSnapshot() : current_(new Snapshot()) {}

PublishedSnapshot::~PublishedSnapshot() { delete current_.load(); }

void PublishedSnapshot::Publish(std::unique_ptr<const Snapshot> snapshot) {
  const std::unique_ptr<const Snapshot> old(current_.exchange(snapshot.release(), std::memory_order_acq_rel));
  urcu_qsbr_synchronize_rcu();
  INDIGOSADDLE_READ_SECTIONS_ENDED(this);
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
  INDIGOSADDLE_READ_SECTION_ENDED(&reader_.published_);
  urcu_qsbr_thread_offline();
}

}  // namespace indigosaddle::fleet

// Publishes the fleet thread's latest snapshot to other threads by read-copy-update (liburcu, QSBR): a read
// takes one load, without a lock or an allocation, and never waits for the writer. The writer instead waits
// for readers before it frees an old snapshot.
#pragma once

#include <atomic>
#include <memory>

#include "fleet/snapshot.h"

namespace indigosaddle::fleet {

// Owns the current snapshot.
class PublishedSnapshot {
 public:
  PublishedSnapshot();
  // No reader and no writer may be left.
  ~PublishedSnapshot();
  PublishedSnapshot(const PublishedSnapshot&) = delete;
  PublishedSnapshot& operator=(const PublishedSnapshot&) = delete;

  // Replaces the snapshot and waits until no reader can see the previous one. Called by one thread at a time,
  // and not by one that reads.
  void Publish(std::unique_ptr<const Snapshot> snapshot);

  // Registers a reading thread. At most one per thread, created and destroyed on it. Outside its read
  // sections the thread is offline and does not delay the writer.
  class Reader {
   public:
    explicit Reader(const PublishedSnapshot& published);
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // A read-side critical section: what get() returned stays valid until it ends. Keep it short, because the
    // writer waits for its end.
    class ReadSection {
     public:
      explicit ReadSection(const Reader& reader);
      ~ReadSection();
      ReadSection(const ReadSection&) = delete;
      ReadSection& operator=(const ReadSection&) = delete;
      const Snapshot& get() const { return *reader_.published_.current_.load(std::memory_order_acquire); }

     private:
      const Reader& reader_;
    };

   private:
    const PublishedSnapshot& published_;
  };

 private:
  std::atomic<const Snapshot*> current_;
};

}  // namespace indigosaddle::fleet

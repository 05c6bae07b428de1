// The latest snapshot of the fleet's thread, for other threads, by read-copy-update (liburcu, QSBR): to look
// at it takes one load, no lock, no allocation, and never waits for the writer. The writer waits for readers
// instead, before it frees an old one.
#pragma once

#include <atomic>
#include <memory>

#include "fleet/snapshot.h"

namespace indigosaddle::fleet {

class PublishedSnapshot {
 public:
  PublishedSnapshot();
  ~PublishedSnapshot();  // no reader and no writer may be left
  PublishedSnapshot(const PublishedSnapshot&) = delete;
  PublishedSnapshot& operator=(const PublishedSnapshot&) = delete;

  // One thread at a time; not one that reads. Waits until no reader can see the one before.
  void Publish(std::unique_ptr<const Snapshot> snapshot);

  // One a thread, made and ended on it. Between looks the thread rests and holds nobody up.
  class Reader {
   public:
    explicit Reader(const PublishedSnapshot& published);
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // While one lives, all that get() gave stays. Short: the writer waits for its end.
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

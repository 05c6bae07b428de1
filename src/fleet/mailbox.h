// Hands values from any thread to one that takes them all, oldest first, without a lock.
#pragma once

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

namespace indigosaddle::fleet {

template <typename Value>
class Mailbox {
 public:
  Mailbox() = default;
  ~Mailbox() { TakeAll(); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  void Put(Value value) {
    auto* letter = new Letter{std::move(value), head_.load(std::memory_order_relaxed)};  // freed by TakeAll
    while (!head_.compare_exchange_weak(letter->below, letter, std::memory_order_release)) {
    }
  }

  std::vector<Value> TakeAll() {
    std::vector<Value> values;
    for (Letter* letter = head_.exchange(nullptr, std::memory_order_acquire); letter != nullptr;) {
      values.push_back(std::move(letter->value));
      delete std::exchange(letter, letter->below);
    }
    std::reverse(values.begin(), values.end());
    return values;
  }

 private:
  struct Letter {
    Value value;
    Letter* below;
  };
  std::atomic<Letter*> head_{nullptr};
};

}  // namespace indigosaddle::fleet

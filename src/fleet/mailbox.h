// A lock-free queue that hands values from any thread to one consumer, which takes all of them at once,
// oldest first.
#pragma once

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

namespace indigosaddle::fleet {

// A linked stack that the consumer reverses.
template <typename Value>
class Mailbox {
 public:
  Mailbox() = default;
  ~Mailbox() { TakeAll(); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // May be called from any thread.
  void Put(Value value) {
    auto* node = new Node{std::move(value), head_.load(std::memory_order_relaxed)};  // freed by TakeAll
    while (!head_.compare_exchange_weak(node->next, node, std::memory_order_release)) {
    }
  }

  // Removes and returns all values, oldest first.
  std::vector<Value> TakeAll() {
    std::vector<Value> values;
    for (Node* node = head_.exchange(nullptr, std::memory_order_acquire); node != nullptr;) {
      values.push_back(std::move(node->value));
      delete std::exchange(node, node->next);
    }
    std::reverse(values.begin(), values.end());
    return values;
  }

 private:
  struct Node {
    Value value;
    Node* next;
  };
  // The newest value.
  std::atomic<Node*> head_{nullptr};
};

}  // namespace indigosaddle::fleet

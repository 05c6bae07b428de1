#include "net/listen_socket.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr int kMostPassedOver = 16;  // in one look

}  // namespace

int ListenSocket::Listen(const std::string& address, int backlog) {
  sockaddr_storage at{};
  if (!ParseAddress(address, at)) return UV_EINVAL;
  const int descriptor = socket(at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return uv_translate_sys_error(errno);
  const socklen_t size = at.ss_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
  const int yes = 1;
  // A process that replaces this one listens on the same address while this one still serves; the kernel then
  // spreads new connections over both. Both must ask for it, so every listener does.
  const bool listens = setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) == 0 &&
                       setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes) == 0 &&
                       bind(descriptor, reinterpret_cast<const sockaddr*>(&at), size) == 0 &&
                       listen(descriptor, backlog) == 0;
  int error = listens ? 0 : uv_translate_sys_error(errno);
  auto poll = std::make_unique<Poll>();
  poll->owner = this;
  poll->handle.data = poll.get();
  if (error == 0) error = uv_poll_init(loop_.raw(), &poll->handle, descriptor);
  if (error != 0) {
    close(descriptor);
    return error;
  }
  poll_ = poll.release();
  descriptor_ = descriptor;
  Resume();
  return 0;
}

std::string ListenSocket::address() const { return BoundAddress(descriptor_); }

int ListenSocket::Accept() {
  if (!open()) return UV_EAGAIN;
  // A connection that is gone already, and a signal, are passed over, but not without end: the loop must go
  // on.
  for (int passed_over = 0; passed_over < kMostPassedOver; ++passed_over) {
    const int client = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client >= 0) return client;
    if (errno != EINTR && errno != ECONNABORTED) break;
  }
  return uv_translate_sys_error(errno);
}

void ListenSocket::Pause() {
  if (open()) uv_poll_stop(&poll_->handle);
}

void ListenSocket::Resume() {
  if (!open()) return;
  uv_poll_start(&poll_->handle, UV_READABLE, [](uv_poll_t* handle, int, int) {
    const auto* poll = static_cast<Poll*>(handle->data);
    if (poll->owner != nullptr) poll->owner->waiting_();
  });
}

// A connection that comes between the last accept and the close would be reset, with its request unread. A
// filter that drops every packet of the listener leaves no such moment; connections in the queue don't carry
// it.
void ListenSocket::RefuseNew() {
  sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop_all};
  setsockopt(descriptor_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

void ListenSocket::Close() {
  if (!open()) return;
  Poll* poll = std::exchange(poll_, nullptr);
  poll->owner = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&poll->handle),
           [](uv_handle_t* handle) { delete static_cast<Poll*>(handle->data); });
  close(std::exchange(descriptor_, -1));
}

}  // namespace indigosaddle::net

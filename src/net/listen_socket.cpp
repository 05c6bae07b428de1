#include "net/listen_socket.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace indigosaddle::net {
namespace {

constexpr int kMaxSkippedErrors = 16;  // in one call of Accept

}  // namespace

int ListenSocket::Listen(const std::string& address, int backlog) {
  sockaddr_storage socket_address{};
  if (!ParseAddress(address, socket_address)) return UV_EINVAL;
  const int descriptor = socket(socket_address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return uv_translate_sys_error(errno);
  const socklen_t size = socket_address.ss_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
  const int enabled = 1;
  // A process that replaces this one listens on the same address while this one still serves. Both sockets
  // must have SO_REUSEPORT, so every listener sets it.
  const bool listens = setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) == 0 &&
                       setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled) == 0 &&
                       bind(descriptor, reinterpret_cast<const sockaddr*>(&socket_address), size) == 0 &&
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
  directs_connections_ = DirectConnectionsTo(Receiver::kFirstListener);
  Resume();
  return 0;
}

// The program returns an index into the sockets that listen on the address, in the order in which they began
// to listen. Where there is no socket with that index, the system chooses one itself.
bool ListenSocket::DirectConnectionsTo(Receiver receiver) {
  sock_filter return_index{BPF_RET | BPF_K, 0, 0, static_cast<std::uint32_t>(receiver)};
  const sock_fprog program{1, &return_index};
  return setsockopt(descriptor_, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) == 0;
}

std::string ListenSocket::address() const { return BoundAddress(descriptor_); }

int ListenSocket::Accept() {
  if (!open()) return UV_EAGAIN;
  // A connection that is aborted already, or a signal, is skipped. The number of skips is limited, so that
  // this does not block the loop.
  for (int skipped = 0; skipped < kMaxSkippedErrors; ++skipped) {
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
    if (poll->owner != nullptr) poll->owner->on_pending_();
  });
}

// A connection that is established between the last accept and the close would be reset, with its request
// unread. A filter that drops every packet to the listener prevents that; it does not apply to connections
// that are in the queue already.
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

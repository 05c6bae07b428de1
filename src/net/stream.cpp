#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <utility>

#include "net/loop.h"

namespace indigosaddle::net {
namespace {

constexpr int kMaxDiscardedBlocks = 64;  // in one call: the sender may never pause

}  // namespace

struct Stream::Handle {
  uv_tcp_t tcp{};
  uv_connect_t connect{};
  uv_shutdown_t shutdown_request{};
  Stream* owner = nullptr;
  std::size_t unwritten = 0;
  std::size_t max_read = std::numeric_limits<std::size_t>::max();
};

struct Stream::Pending {
  uv_write_t request{};
  Handle* handle = nullptr;
  std::string bytes;
  std::size_t size = 0;
};

Stream::Stream(Loop& loop, Listener& listener) : handle_(new Handle), listener_(listener) {
  handle_->owner = this;
  uv_tcp_init(loop.raw(), &handle_->tcp);
  handle_->tcp.data = handle_;
  handle_->connect.data = handle_;
}

Stream::~Stream() { Close(); }

void Stream::Close() {
  if (handle_ == nullptr) return;
  handle_->owner = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&std::exchange(handle_, nullptr)->tcp),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Stream::Abort() {
  if (handle_ == nullptr) return;
  uv_tcp_t* tcp = &handle_->tcp;
  handle_->owner = nullptr;
  const auto free_handle = [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); };
  if (uv_tcp_close_reset(tcp, free_handle) != 0) uv_close(reinterpret_cast<uv_handle_t*>(tcp), free_handle);
  handle_ = nullptr;
}

bool Stream::undelivered() const {
  if (handle_ == nullptr) return false;
  if (handle_->unwritten > 0) return true;
  uv_os_fd_t descriptor = -1;
  int count = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->tcp), &descriptor) != 0) return false;
  return ioctl(descriptor, SIOCOUTQ, &count) == 0 && count > 0;
}

int Stream::Connect(const std::string& address) {
  sockaddr_storage socket_address{};
  if (!ParseAddress(address, socket_address)) return UV_EINVAL;
  const int error =
      uv_tcp_connect(&handle_->connect, &handle_->tcp, reinterpret_cast<const sockaddr*>(&socket_address),
                     [](uv_connect_t* request, int status) {
                       auto* handle = static_cast<Handle*>(request->data);
                       if (handle->owner != nullptr) handle->owner->listener_.OnConnected(status);
                     });
  if (error == 0) uv_tcp_nodelay(&handle_->tcp, 1);
  return error;
}

int Stream::BindLocal(const sockaddr_storage& address) {
  sockaddr_storage from = address;
  (from.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6&>(from).sin6_port
                              : reinterpret_cast<sockaddr_in&>(from).sin_port) = 0;
  return uv_tcp_bind(&handle_->tcp, reinterpret_cast<const sockaddr*>(&from), 0);
}

int Stream::Accept(uv_stream_t* server) {
  const int error = uv_accept(server, reinterpret_cast<uv_stream_t*>(&handle_->tcp));
  if (error == 0) uv_tcp_nodelay(&handle_->tcp, 1);
  return error;
}

int Stream::Open(uv_os_sock_t descriptor) {
  const int error = uv_tcp_open(&handle_->tcp, descriptor);
  error == 0 ? uv_tcp_nodelay(&handle_->tcp, 1) : close(descriptor);
  return error;
}

int Stream::StartReading() {
  return uv_read_start(
      reinterpret_cast<uv_stream_t*>(&handle_->tcp),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto& space = static_cast<Loop*>(handle->loop->data)->read_buffer();
        const std::size_t size = std::min(space.size(), static_cast<Handle*>(handle->data)->max_read);
        *buffer = uv_buf_init(space.data(), static_cast<unsigned>(size));
      },
      [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
        auto* handle = static_cast<Handle*>(stream->data);
        if (handle->owner == nullptr || count == 0) return;
        if (count > 0) {
          handle->owner->listener_.OnBytes({buffer->base, static_cast<std::size_t>(count)});
        } else {
          uv_read_stop(stream);
          handle->owner->listener_.OnEnd(static_cast<int>(count));
        }
      });
}

void Stream::LimitReads(std::size_t bytes) { handle_->max_read = bytes; }

void Stream::StopReading() { uv_read_stop(reinterpret_cast<uv_stream_t*>(&handle_->tcp)); }

int Stream::Write(std::string bytes) {
  auto* stream = reinterpret_cast<uv_stream_t*>(&handle_->tcp);
  std::size_t written_now = 0;
  if (handle_->unwritten == 0) {
    const uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
    const int wrote = uv_try_write(stream, &buffer, 1);
    if (wrote < 0 && wrote != UV_EAGAIN) return wrote;
    written_now = wrote > 0 ? static_cast<std::size_t>(wrote) : 0;
    if (written_now == bytes.size()) return 0;
  }
  auto* pending = new Pending{{}, handle_, std::move(bytes), 0};  // deleted in the callback below
  pending->size = pending->bytes.size() - written_now;
  pending->request.data = pending;
  handle_->unwritten += pending->size;
  const uv_buf_t buffer =
      uv_buf_init(pending->bytes.data() + written_now, static_cast<unsigned>(pending->size));
  const int error = uv_write(&pending->request, stream, &buffer, 1, [](uv_write_t* request, int status) {
    const std::unique_ptr<Pending> written(static_cast<Pending*>(request->data));
    Handle* handle = written->handle;
    handle->unwritten -= written->size;
    if (handle->owner == nullptr || status == UV_ECANCELED) return;
    if (status < 0) {
      handle->owner->listener_.OnEnd(status);
    } else if (handle->unwritten == 0) {
      handle->owner->listener_.OnDrained();
    }
  });
  if (error != 0) {
    handle_->unwritten -= pending->size;
    delete pending;
  }
  return error;
}

// Calls shutdown directly if possible: libuv would do it in a later pass of the loop, and what the peer
// writes until then would go unanswered.
int Stream::HalfClose() {
  uv_os_fd_t descriptor = -1;
  if (handle_->unwritten == 0 &&
      uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->tcp), &descriptor) == 0) {
    return shutdown(descriptor, SHUT_WR) == 0 ? 0 : uv_translate_sys_error(errno);
  }
  return uv_shutdown(&handle_->shutdown_request, reinterpret_cast<uv_stream_t*>(&handle_->tcp),
                     [](uv_shutdown_t*, int) {});
}

void Stream::DiscardInput() {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->tcp), &descriptor) != 0) return;
  std::array<char, 16384> space{};
  for (int block = 0; block < kMaxDiscardedBlocks; ++block) {
    if (recv(descriptor, space.data(), space.size(), MSG_DONTWAIT) <= 0) return;
  }
}

std::size_t Stream::unwritten() const { return handle_->unwritten; }

std::size_t Stream::unread() const {
  uv_os_fd_t descriptor = -1;
  int count = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->tcp), &descriptor) != 0) return 0;
  return ioctl(descriptor, FIONREAD, &count) == 0 && count > 0 ? static_cast<std::size_t>(count) : 0;
}

PeerState Stream::peer_state() const {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->tcp), &descriptor) != 0)
    return PeerState::kGone;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
    switch (info.tcpi_state) {
      case TCP_CLOSE: return PeerState::kGone;
      case TCP_CLOSE_WAIT:
      case TCP_LAST_ACK:
      case TCP_CLOSING:
      case TCP_TIME_WAIT: return PeerState::kEnded;
      case TCP_ESTABLISHED:
      case TCP_FIN_WAIT1:
      case TCP_FIN_WAIT2: return PeerState::kOpen;
      default: break;  // the system does not tell
    }
  }
  char byte = 0;
  const ssize_t count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count == 0) return PeerState::kEnded;
  const bool broken = count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  return broken ? PeerState::kGone : PeerState::kOpen;
}

bool Stream::open_and_quiet() const {
  uv_os_fd_t descriptor = -1;
  char byte = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->tcp), &descriptor) != 0) return false;
  return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

bool Stream::PeerAddress(sockaddr_storage& address) const {
  int size = sizeof address;
  return uv_tcp_getpeername(&handle_->tcp, reinterpret_cast<sockaddr*>(&address), &size) == 0;
}

bool RestartIfUnread(Timer& timer, const Stream& stream) {
  if (stream.unread() == 0) return false;
  timer.Start(std::chrono::milliseconds(1));
  return true;
}

}  // namespace indigosaddle::net

#include "net/control_server.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace indigosaddle::net {
namespace {

constexpr int kBacklog = 8;
constexpr Micros kSweepInterval = std::chrono::milliseconds(500);
constexpr Micros kLineTimeout = std::chrono::seconds(5);  // from a line's first byte to its end
// Without a request. The operators' tool connects again when it needs to.
constexpr Micros kIdleTimeout = std::chrono::seconds(120);
constexpr Micros kWriteTimeout = std::chrono::seconds(5);  // for the peer to read answers
constexpr std::size_t kMaxPendingRequests = 16;            // of one peer, without an answer

// Whether another process listens on the socket. True also if that can't be found out.
bool InUse(const sockaddr_un& address) {
  const int probe = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (probe < 0) return true;
  const int result = connect(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const bool refused = result != 0 && (errno == ECONNREFUSED || errno == ENOENT);
  close(probe);
  return !refused;
}

}  // namespace

class ControlServer::Peer {
 public:
  Peer(ControlServer& server, std::uint64_t id) : handle_(new Handle), server_(server), id_(id) {
    handle_->owner = this;
    uv_pipe_init(server.loop_.raw(), &handle_->pipe, 0);
    handle_->pipe.data = handle_;
    last_activity_at_ = server.loop_.Now();
  }
  ~Peer() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->pipe),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  bool Accept(uv_pipe_t* listener) {
    return uv_accept(reinterpret_cast<uv_stream_t*>(listener), stream()) == 0;
  }

  // Gets the peer's user. Returns false if the system does not report it.
  bool Credentials(ucred& peer) const {
    uv_os_fd_t descriptor = -1;
    socklen_t size = sizeof peer;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->pipe), &descriptor) == 0 &&
           getsockopt(descriptor, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0;
  }

  bool Read() {
    return uv_read_start(
               stream(),
               [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                 auto& space = static_cast<Loop*>(handle->loop->data)->read_buffer();
                 *buffer = uv_buf_init(space.data(), static_cast<unsigned>(space.size()));
               },
               [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
                 auto* handle = static_cast<Handle*>(stream->data);
                 if (handle->owner == nullptr || count == 0) return;
                 if (count < 0) return handle->owner->OnEnd(static_cast<int>(count));
                 handle->owner->OnBytes({buffer->base, static_cast<std::size_t>(count)});
               }) == 0;
  }

  void Write(std::string line, bool is_answer) {
    line += '\n';
    if (is_answer && pending_requests_ > 0) --pending_requests_;
    handle_->unwritten += line.size();
    last_activity_at_ = server_.loop_.Now();
    if (handle_->unwritten > kMaxUnwrittenBytes) return server_.Drop(id_);
    auto* pending = new Pending{{}, handle_, std::move(line)};  // deleted in the callback
    pending->request.data = pending;
    const uv_buf_t buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
    const int error = uv_write(&pending->request, stream(), &buffer, 1, [](uv_write_t* request, int status) {
      const std::unique_ptr<Pending> written(static_cast<Pending*>(request->data));
      Handle* handle = written->handle;
      handle->unwritten -= written->bytes.size();
      if (handle->owner != nullptr && (status < 0 || handle->owner->Done()))
        handle->owner->server_.Drop(handle->owner->id_);
    });
    if (error == 0) return;
    delete pending;
    server_.Drop(id_);
  }

  bool Overdue(Micros now) const {
    if (handle_->unwritten > 0) return now - last_activity_at_ >= kWriteTimeout;
    if (pending_requests_ > 0) return false;  // the node still has to answer
    if (!line_.empty()) return now - line_started_at_ >= kLineTimeout;
    return now - last_activity_at_ >= kIdleTimeout;
  }

  // Answers a last time and reads nothing more. The next sweep drops the peer.
  void Refuse(std::string_view why) {
    uv_read_stop(stream());
    refused_ = true;
    line_.clear();
    Write(fmt::format(R"({{"ok":false,"text":"{}"}})", why), false);
  }
  bool refused() const { return refused_; }

 private:
  struct Handle {
    uv_pipe_t pipe{};
    Peer* owner = nullptr;
    std::size_t unwritten = 0;
  };
  struct Pending {
    uv_write_t request{};
    Handle* handle = nullptr;
    std::string bytes;
  };

  // A peer that has only half-closed the connection still gets the answers to its requests.
  void OnEnd(int error) {
    uv_read_stop(stream());
    peer_ended_ = true;
    uv_os_fd_t descriptor = -1;
    uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->pipe), &descriptor);
    pollfd hang_up{descriptor, 0, 0};
    const bool half_closed =
        error == UV_EOF && poll(&hang_up, 1, 0) == 0;  // POLLHUP: closed in both directions
    if (!half_closed || Done()) server_.Drop(id_);
  }
  bool Done() const { return peer_ended_ && pending_requests_ == 0 && handle_->unwritten == 0; }

  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&handle_->pipe); }

  void OnBytes(std::string_view bytes) {
    const Micros now = server_.loop_.Now();
    if (line_.empty()) line_started_at_ = now;
    last_activity_at_ = now;
    Handle* const handle = handle_;  // the request may destroy this peer
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      line_.append(bytes.substr(0, end));
      if (line_.size() > kMaxLineBytes) {
        server_.handler_.OnControlRefused(0, "a request that is too long");
        return Refuse("the request is too long");
      }
      if (end == std::string_view::npos) return;
      bytes.remove_prefix(end + 1);
      const std::string line = std::exchange(line_, {});
      line_started_at_ = now;
      if (++pending_requests_ > kMaxPendingRequests) {
        server_.handler_.OnControlRefused(0, "too many requests at once");
        return Refuse("too many requests at once");
      }
      server_.handler_.OnControlRequest(id_, line);
      if (handle->owner == nullptr) return;
    }
  }

  Handle* handle_;
  ControlServer& server_;
  const std::uint64_t id_;
  std::string line_;  // the line that is arriving
  std::size_t pending_requests_ = 0;
  Micros last_activity_at_{0}, line_started_at_{0};
  bool refused_ = false, peer_ended_ = false;  // the peer closed or half-closed
};

ControlServer::ControlServer(Loop& loop, Handler& handler)
    : loop_(loop), handler_(handler), sweep_timer_(loop, [this] { DropOverdue(); }) {}

ControlServer::~ControlServer() {
  if (listener_ == nullptr) return;
  uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(listener_, nullptr)),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_pipe_t*>(handle); });
  unlink(path_.c_str());
}

std::string ControlServer::Listen(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) {
    return fmt::format("the path is longer than {} characters", sizeof address.sun_path - 1);
  }
  std::memcpy(address.sun_path, path.data(), path.size());
  struct stat file_status {};
  if (lstat(path.c_str(), &file_status) == 0) {
    if (!S_ISSOCK(file_status.st_mode)) return "a file of that name is there, and is no socket";
    if (InUse(address)) return "another process listens there";
    unlink(path.c_str());
  }
  listener_ = new uv_pipe_t{};
  uv_pipe_init(loop_.raw(), listener_, 0);
  listener_->data = this;
  const mode_t old_mask = umask(0177);  // other users must not be able to open it, not even for a moment
  int error = uv_pipe_bind(listener_, path.c_str());
  umask(old_mask);
  if (error == 0) {
    error =
        uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kBacklog, [](uv_stream_t* stream, int status) {
          if (status == 0) static_cast<ControlServer*>(stream->data)->Accept();
        });
  }
  if (error != 0) {
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(listener_, nullptr)),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_pipe_t*>(handle); });
    return uv_strerror(error);
  }
  path_ = path;
  sweep_timer_.Start(kSweepInterval);
  return {};
}

void ControlServer::Accept() {
  const std::uint64_t id = ++last_peer_;
  auto peer = std::make_unique<Peer>(*this, id);
  if (!peer->Accept(listener_)) return;
  ucred credentials{};
  if (!peer->Credentials(credentials) || (credentials.uid != geteuid() && credentials.uid != 0)) {
    return handler_.OnControlRefused(credentials.uid, "another user");
  }
  if (peers_.size() >= kMaxPeers) return handler_.OnControlRefused(credentials.uid, "too many connections");
  if (!peer->Read()) return;
  peers_.emplace(id, std::move(peer));
}

void ControlServer::Answer(std::uint64_t peer, std::string line) {
  if (const auto it = peers_.find(peer); it != peers_.end()) it->second->Write(std::move(line), true);
}

void ControlServer::Drop(std::uint64_t peer) { peers_.erase(peer); }

void ControlServer::DropOverdue() {
  const Micros now = loop_.Now();
  std::erase_if(peers_,
                [&](const auto& peer) { return peer.second->refused() || peer.second->Overdue(now); });
  sweep_timer_.Start(kSweepInterval);
}

}  // namespace indigosaddle::net

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
constexpr Micros kSweepEvery = std::chrono::milliseconds(500);
constexpr Micros kLineTime = std::chrono::seconds(5);  // from a line's first byte to its end
constexpr Micros kQuiet = std::chrono::seconds(120);   // with no request; an operator's tool asks again
constexpr Micros kUntaken = std::chrono::seconds(5);   // answers that the peer does not read
constexpr std::size_t kMostWaiting = 16;               // requests of one peer without an answer

// Whether another process listens there.
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
    quiet_since_ = server.loop_.Now();
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

  // The peer's user; nothing where the system does not say.
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

  void Write(std::string line, bool answers) {
    line += '\n';
    if (answers && waiting_ > 0) --waiting_;
    handle_->unwritten += line.size();
    quiet_since_ = server_.loop_.Now();
    if (handle_->unwritten > kMostUnwritten) return server_.Drop(id_);
    auto* pending = new Pending{{}, handle_, std::move(line)};  // deleted in the callback
    pending->request.data = pending;
    const uv_buf_t buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
    const int error = uv_write(&pending->request, stream(), &buffer, 1, [](uv_write_t* request, int status) {
      const std::unique_ptr<Pending> written(static_cast<Pending*>(request->data));
      Handle* handle = written->handle;
      handle->unwritten -= written->bytes.size();
      if (handle->owner != nullptr && (status < 0 || handle->owner->Over()))
        handle->owner->server_.Drop(handle->owner->id_);
    });
    if (error == 0) return;
    delete pending;
    server_.Drop(id_);
  }

  bool Overdue(Micros now) const {
    if (handle_->unwritten > 0) return now - quiet_since_ >= kUntaken;
    if (waiting_ > 0) return false;  // the node's own duty
    if (!bytes_.empty()) return now - line_since_ >= kLineTime;
    return now - quiet_since_ >= kQuiet;
  }

  void Refuse(std::string_view why) {  // its last words; what comes after them is not read
    uv_read_stop(stream());
    refused_ = true;
    bytes_.clear();
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

  // A peer that has ended its sending alone is still owed the answers to what it asked.
  void OnEnd(int error) {
    uv_read_stop(stream());
    ended_ = true;
    uv_os_fd_t descriptor = -1;
    uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->pipe), &descriptor);
    pollfd closed{descriptor, 0, 0};
    const bool listens = error == UV_EOF && poll(&closed, 1, 0) == 0;  // POLLHUP: closed as a whole
    if (!listens || Over()) server_.Drop(id_);
  }
  bool Over() const { return ended_ && waiting_ == 0 && handle_->unwritten == 0; }

  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&handle_->pipe); }

  void OnBytes(std::string_view bytes) {
    const Micros now = server_.loop_.Now();
    if (bytes_.empty()) line_since_ = now;
    quiet_since_ = now;
    Handle* const handle = handle_;  // a request may end this peer
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      bytes_.append(bytes.substr(0, end));
      if (bytes_.size() > kMostLine) {
        server_.handler_.OnControlRefused(0, "a request that is too long");
        return Refuse("the request is too long");
      }
      if (end == std::string_view::npos) return;
      bytes.remove_prefix(end + 1);
      const std::string line = std::exchange(bytes_, {});
      line_since_ = now;
      if (++waiting_ > kMostWaiting) {
        server_.handler_.OnControlRefused(0, "too many requests at once");
        return Refuse("too many requests at once");
      }
      server_.handler_.OnControl(id_, line);
      if (handle->owner == nullptr) return;
    }
  }

  Handle* handle_;
  ControlServer& server_;
  const std::uint64_t id_;
  std::string bytes_;  // of a line that has not ended
  std::size_t waiting_ = 0;
  Micros quiet_since_{0}, line_since_{0};
  bool refused_ = false, ended_ = false;  // ended: by the peer, its sending
};

ControlServer::ControlServer(Loop& loop, Handler& handler)
    : loop_(loop), handler_(handler), sweep_(loop, [this] { Sweep(); }) {}

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
  struct stat about {};
  if (lstat(path.c_str(), &about) == 0) {
    if (!S_ISSOCK(about.st_mode)) return "a file of that name is there, and is no socket";
    if (InUse(address)) return "another process listens there";
    unlink(path.c_str());
  }
  listener_ = new uv_pipe_t{};
  uv_pipe_init(loop_.raw(), listener_, 0);
  listener_->data = this;
  const mode_t before = umask(0177);  // never readable by others, not even for a moment
  int error = uv_pipe_bind(listener_, path.c_str());
  umask(before);
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
  sweep_.Start(kSweepEvery);
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
  if (peers_.size() >= kMostPeers) return handler_.OnControlRefused(credentials.uid, "too many connections");
  if (!peer->Read()) return;
  peers_.emplace(id, std::move(peer));
}

void ControlServer::Answer(std::uint64_t peer, std::string line) {
  if (const auto it = peers_.find(peer); it != peers_.end()) it->second->Write(std::move(line), true);
}

void ControlServer::Drop(std::uint64_t peer) { peers_.erase(peer); }

void ControlServer::Sweep() {
  const Micros now = loop_.Now();
  std::erase_if(peers_,
                [&](const auto& peer) { return peer.second->refused() || peer.second->Overdue(now); });
  sweep_.Start(kSweepEvery);
}

}  // namespace indigosaddle::net

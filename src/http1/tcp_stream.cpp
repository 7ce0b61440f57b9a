#include "http1/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "http1/socket_address.h"
#include "transport/tcp_keepalive.h"

namespace pumicemast {
namespace {

constexpr std::size_t kReadBytes = 64U * 1024U;
/// Short pieces of the queue are combined up to this size.
constexpr std::size_t kCombinedBytes = 16U * 1024U;

void set_no_delay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// The size that the system returns for `request`; 0 where it does not support it.
std::size_t buffer_size(int descriptor, unsigned long request) {
  int bytes = 0;
  if (ioctl(descriptor, request, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

TcpStream::TcpStream(int descriptor, StreamObserver& observer)
    : descriptor_(descriptor), observer_(observer), connected_(true) {
  set_no_delay(descriptor_);
  enable_tcp_keepalive(descriptor_, kCallerKeepaliveIdle);
  registration_ = SocketPoller::instance().add(descriptor_, *this, true, false);
}

TcpStream::TcpStream(const Address& address, Duration user_timeout, StreamObserver& observer)
    : observer_(observer) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor_ < 0) return;  // Out of descriptors: the owner's timeout ends the attempt.
  set_no_delay(descriptor_);
  set_tcp_user_timeout(descriptor_, user_timeout);
  enable_tcp_keepalive(descriptor_, kFastKeepaliveIdle);
  const sockaddr_in target = to_socket_address(address);
  static_cast<void>(
      ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)));
  // The socket becomes writable when connecting succeeds or fails, even if it does so at once.
  writing_ = true;
  registration_ = SocketPoller::instance().add(descriptor_, *this, true, true);
}

TcpStream::~TcpStream() { close(); }

void TcpStream::drop_descriptor() {
  if (descriptor_ < 0) return;
  SocketPoller::instance().remove(registration_);
  ::close(descriptor_);
  descriptor_ = -1;
}

void TcpStream::close() { drop_descriptor(); }

void TcpStream::shutdown_sending() {
  if (descriptor_ >= 0) ::shutdown(descriptor_, SHUT_WR);
}

void TcpStream::reset() {
  if (descriptor_ < 0) return;
  const linger abort_at_close{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort_at_close, sizeof(abort_at_close));
  drop_descriptor();
}

void TcpStream::fail(StreamEnd end) {
  if (descriptor_ < 0) return;
  undelivered_at_failure_ = undelivered_bytes();
  unread_at_failure_ = unread_bytes();
  drop_descriptor();
  const bool refused = end == StreamEnd::connect_refused;
  observer_.on_stream_end(connected_ || refused ? end : StreamEnd::connect_failed);
}

void TcpStream::update_interest() {
  if (descriptor_ >= 0) SocketPoller::instance().set_interest(registration_, reading_, writing_);
}

void TcpStream::set_tcp_keepalive(bool probing) {
  if (descriptor_ < 0) return;
  if (probing) {
    enable_tcp_keepalive(descriptor_, kFastKeepaliveIdle);
  } else {
    disable_tcp_keepalive(descriptor_);
  }
}

void TcpStream::limit_send_buffer(int bytes) {
  if (descriptor_ >= 0) setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

void TcpStream::limit_receive_buffer(int bytes) {
  if (descriptor_ >= 0) setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

std::size_t TcpStream::undelivered_bytes() const {
  if (descriptor_ < 0) return undelivered_at_failure_;
  return queued_bytes_ + buffer_size(descriptor_, SIOCOUTQ);
}

std::size_t TcpStream::unread_bytes() const {
  return descriptor_ < 0 ? unread_at_failure_ : buffer_size(descriptor_, SIOCINQ);
}

void TcpStream::set_reading(bool reading) {
  if (reading == reading_ || input_ended_) return;
  reading_ = reading;
  update_interest();
}

bool TcpStream::write_available(std::string_view& bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (would_block(errno)) return true;
      fail(StreamEnd::reset);
      return false;
    }
    bytes_sent_ += static_cast<std::uint64_t>(count);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

void TcpStream::send(std::string_view bytes) {
  if (descriptor_ < 0) return;
  if (connected_ && queued_bytes() == 0) {
    if (!write_available(bytes)) return;
  }
  if (bytes.empty()) return;
  queue(bytes);
  if (writing_) return;
  writing_ = true;
  update_interest();
}

void TcpStream::on_readable() {
  if (!connected_) finish_connecting();
  if (descriptor_ < 0 || !reading_) return;
  static std::array<char, kReadBytes> buffer;  // Safe to share: all streams run on one thread.
  const ssize_t count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    observer_.on_stream_data({buffer.data(), static_cast<std::size_t>(count)});
  } else if (count == 0) {
    end_input();
  } else if (!would_block(errno)) {
    fail(StreamEnd::reset);
  }
}

void TcpStream::end_input() {
  if (!observer_.on_stream_input_end()) {
    fail(StreamEnd::closed_by_peer);
    return;
  }
  reading_ = false;
  input_ended_ = true;
  update_interest();
}

void TcpStream::finish_connecting() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    fail(error == ECONNREFUSED ? StreamEnd::connect_refused : StreamEnd::connect_failed);
    return;
  }
  sockaddr_in peer{};
  socklen_t peer_size = sizeof(peer);
  if (getpeername(descriptor_, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) return;
  connected_ = true;
  observer_.on_stream_connected();
}

void TcpStream::on_writable() {
  if (!connected_) finish_connecting();
  if (descriptor_ < 0 || !connected_) return;
  if (!write_queued()) return;
  if (queued_bytes_ == 0) {
    writing_ = false;
    update_interest();
    observer_.on_stream_drained();
  }
  if (descriptor_ >= 0) observer_.on_stream_written();
}

void TcpStream::queue(std::string_view bytes) {
  queued_bytes_ += bytes.size();
  if (!outgoing_.empty() && outgoing_.back().size() + bytes.size() <= kCombinedBytes) {
    outgoing_.back().append(bytes);
  } else {
    outgoing_.emplace_back(bytes);
  }
}

void TcpStream::drop_queued() {
  outgoing_.clear();
  outgoing_offset_ = 0;
  queued_bytes_ = 0;
  writing_ = !connected_;
  update_interest();
}

bool TcpStream::write_queued() {
  while (!outgoing_.empty()) {
    std::string_view remaining(outgoing_.front());
    remaining.remove_prefix(outgoing_offset_);
    const std::size_t before = remaining.size();
    if (!write_available(remaining)) return false;
    queued_bytes_ -= before - remaining.size();
    outgoing_offset_ += before - remaining.size();
    if (!remaining.empty()) return true;
    outgoing_.pop_front();
    outgoing_offset_ = 0;
  }
  return true;
}

void TcpStream::on_broken() {
  // Data received before the failure has already been read in on_readable().
  if (descriptor_ < 0) return;
  if (!connected_) finish_connecting();
  if (descriptor_ < 0) return;
  if (reading_) {
    on_readable();
    return;
  }
  fail(StreamEnd::reset);
}

}  // namespace pumicemast

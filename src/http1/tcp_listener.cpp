#include "http1/tcp_listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "http1/socket_address.h"

namespace pumicemast {
namespace {

constexpr int kAcceptsPerIteration = 32;
constexpr int kListenBacklog = 512;
/// Without a pause the loop would be busy with connections that it cannot accept.
constexpr Duration kAcceptPause = milliseconds(50);

/// Whether accepting failed for want of descriptors or memory.
bool lacks_resources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

std::unique_ptr<TcpListener> TcpListener::listen(const Address& address, Acceptor& acceptor) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in local = to_socket_address(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      ::listen(descriptor, kListenBacklog) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  return std::unique_ptr<TcpListener>(new TcpListener(descriptor, acceptor));
}

TcpListener::TcpListener(int descriptor, Acceptor& acceptor)
    : descriptor_(descriptor),
      acceptor_(acceptor),
      registration_(SocketPoller::instance().add(descriptor, *this, true, false)) {}

TcpListener::~TcpListener() {
  SocketPoller::instance().remove(registration_);
  ::close(descriptor_);
}

void TcpListener::on_readable() {
  for (int iteration = 0; iteration < kAcceptsPerIteration; ++iteration) {
    if (!acceptor_.ready_to_accept()) {
      pause();
      return;
    }
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      if (lacks_resources(errno)) pause();
      return;
    }
    acceptor_.on_accepted(accepted);
  }
}

void TcpListener::pause() {
  SocketPoller::instance().set_interest(registration_, false, false);
  resume_timer_.start_once(
      kAcceptPause, [this] { SocketPoller::instance().set_interest(registration_, true, false); });
}

}  // namespace pumicemast

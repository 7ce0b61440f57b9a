#include "http1/tcp_listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include "http1/socket_address.h"

namespace pumicemast {
namespace {

constexpr int kAcceptsPerIteration = 32;
constexpr int kListenBacklog = 512;

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
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) return;
    acceptor_.on_accepted(accepted);
  }
}

}  // namespace pumicemast

#include "transport/tcp_keepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace pumicemast {
namespace {

/// The smallest interval that the kernel supports.
constexpr int kKeepaliveIntervalSeconds = 1;
/// Number of unanswered probes that close a connection without a user timeout; with one, the kernel
/// applies the user timeout instead. If a tenth of all packets is lost in each direction, four
/// probes in a row fail once in 770 times.
constexpr int kKeepaliveProbes = 4;

void set_option(int descriptor, int level, int name, int value) {
  static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof(value)));
}

}  // namespace

void enable_tcp_keepalive(int descriptor, Duration idle_time) {
  const auto idle_s =
      std::max<std::int64_t>(1, to_milliseconds(idle_time) / to_milliseconds(seconds(1)));
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(idle_s));
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
}

void disable_tcp_keepalive(int descriptor) { set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 0); }

void set_tcp_user_timeout(int descriptor, Duration limit) {
  set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(to_milliseconds(limit)));
}

}  // namespace pumicemast

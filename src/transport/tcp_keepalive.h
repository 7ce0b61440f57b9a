/// Keepalive probes and user timeouts, which detect dead TCP connections.
///
/// All packets of a connection may be lost permanently, without a reset, while new connections
/// work. Unacknowledged bytes reveal this; a connection on which only the peer sends needs
/// keepalive probes. The peer's kernel answers probes, so they do not show whether its process is
/// alive.
#pragma once

#include "common/time.h"

namespace pumicemast {

/// Idle time before the first probe on a connection that waits for data or may be used for sending
/// at any moment. It is the smallest value that the kernel supports. A probe and its answer take
/// 104 bytes.
constexpr Duration kFastKeepaliveIdle = seconds(1);
/// Idle time before the first probe on a connection between pumicemast processes. These connections
/// are many (40 gateways and 64 agents have up to 5,400) and mostly idle. Those that matter carry
/// data twice a second, so that they are never probed.
constexpr Duration kInternalKeepaliveIdle = seconds(4);
/// Idle time before the first probe on a connection from a caller. These connections are many and
/// idle for long; a response to a caller that is gone only wastes work.
constexpr Duration kCallerKeepaliveIdle = seconds(5);
/// User timeout of connections that are probed after kFastKeepaliveIdle. Two probes have gone
/// unanswered by then, so that the loss of one packet does not close the connection.
constexpr Duration kFastUserTimeout = milliseconds(2500);
/// Time after which a dead connection with these settings has been closed, with a margin for
/// timers.
constexpr Duration kFastDetectionTime = milliseconds(3500);

/// Probes a connection that has received nothing for `idle_time`, once a second until the peer
/// answers. The connection fails when a probe is unanswered and nothing has been received for the
/// user timeout or, without a user timeout, after four unanswered probes. A connection that
/// receives data more often than `idle_time` is not probed.
void enable_tcp_keepalive(int descriptor, Duration idle_time);
/// Stops probing the connection.
void disable_tcp_keepalive(int descriptor);
/// Closes the connection when the peer has not acknowledged sent bytes or probes for `limit`.
void set_tcp_user_timeout(int descriptor, Duration limit);

}  // namespace pumicemast

/// How soon a TCP connection that has gone silent is ended.
///
/// A connection may lose all its packets for good without a reset, while new ones work. Bytes that
/// stay unacknowledged show it; a connection on which only the peer has something to say needs
/// probes of its own. Probes are answered by the peer's system: they say nothing of its process.
#pragma once

#include "common/time.h"

namespace pumicemast {

/// Whoever waits for news, or may send at any moment, probes after this rest: the least that the
/// system knows. A probe and its answer are 104 bytes.
constexpr Duration kFastKeepaliveIdle = seconds(1);
/// Between processes of the system, most of whose connections rest and are many (40 gateways and
/// 64 agents have up to 5,400): what matters there is sent twice a second, which needs no probe.
constexpr Duration kInternalKeepaliveIdle = seconds(4);
/// Callers' connections rest for long and are many; an answer of ours to one that is gone is only
/// work in vain.
constexpr Duration kCallerKeepaliveIdle = seconds(5);
/// A connection that is limited to kFastUserTimeout and probed after kFastKeepaliveIdle has had
/// two probes unanswered by now: the loss of one packet does not end it.
constexpr Duration kFastUserTimeout = milliseconds(2500);
/// By when such a connection has ended, with a margin for timers.
constexpr Duration kFastDetectionTime = milliseconds(3500);

/// Probes a connection over which nothing came for `rest` once a second until it is answered. It
/// ends with the first second in which a probe is unanswered and nothing came for the limit of
/// unacknowledged bytes; where there is none, after four probes. A connection over which something
/// comes more often costs nothing.
void enable_tcp_keepalive(int descriptor, Duration idle_time);
/// Sends no probes any more.
void disable_tcp_keepalive(int descriptor);
/// Bytes and probes that the peer does not acknowledge for so long end the connection.
void set_tcp_user_timeout(int descriptor, Duration limit);

}  // namespace pumicemast

/// Stops a listening socket from accepting new connections without resetting existing ones.
#pragma once

namespace pumicemast {

/// Drops the SYN packets of new connections to a listening socket. Connections whose handshake has
/// begun can still be accepted. Closing the socket a while later then resets no connection on which
/// data may have been sent: a caller that connects in the meantime is refused when it retransmits
/// its SYN after the close.
/// @return false when the kernel does not accept the filter.
bool refuse_new_connections(int listening_descriptor);

}  // namespace pumicemast

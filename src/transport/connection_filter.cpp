#include "transport/connection_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace pumicemast {
namespace {

/// Offset of the flags in a TCP header, and the flag that marks the first packet of a connection.
constexpr std::uint32_t kTcpFlagsOffset = 13;
constexpr std::uint32_t kSynFlag = 0x02;
/// Return values of a socket filter: the number of bytes of the packet to keep.
constexpr std::uint32_t kDropPacket = 0;
constexpr std::uint32_t kAcceptPacket = 0xFFFFFFFF;

}  // namespace

bool refuse_new_connections(int listening_descriptor) {
  // Closing a listening socket resets the connections in its accept queue, whose callers may
  // already have sent a request. Dropping SYN packets lets the queue drain before the socket is
  // closed.
  std::array<sock_filter, 4> program{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, kDropPacket),
      BPF_STMT(BPF_RET | BPF_K, kAcceptPacket),
  }};
  const sock_fprog filter{program.size(), program.data()};
  return setsockopt(listening_descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) ==
         0;
}

}  // namespace pumicemast

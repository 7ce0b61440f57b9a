"""Makes established connections between processes go silent for good, without a reset.

Every packet that comes in at such a socket is dropped by a socket filter, at both ends. Connections
that are made later are not touched. Works on processes of the same user that this one started.
"""

import ctypes
import os
import socket
import struct

PIDFD_GETFD = 438  # The call's number on every architecture; Python does not offer it.
ATTACH_FILTER = 26  # SO_ATTACH_FILTER of asm-generic/socket.h.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)  # BPF_RET | BPF_K, 0 bytes of the packet are kept.


def connections(process, port):
    """Established TCP connections of a process that use `port` at one end, by (local, remote)."""
    library = ctypes.CDLL(None, use_errno=True)
    result = {}
    pidfd = os.pidfd_open(process.pid)
    try:
        for name in os.listdir(f"/proc/{process.pid}/fd"):
            try:
                if not os.readlink(f"/proc/{process.pid}/fd/{name}").startswith("socket:"):
                    continue
            except OSError:
                continue  # Closed meanwhile.
            descriptor = library.syscall(PIDFD_GETFD, pidfd, int(name), 0)
            if descriptor < 0:
                if ctypes.get_errno() == 1:
                    raise PermissionError("sockets of a process cannot be had here")
                continue
            duplicate = socket.socket(fileno=descriptor)
            try:
                addresses = (duplicate.getsockname(), duplicate.getpeername())
            except OSError:
                addresses = None  # Listening, or not connected.
            if addresses and duplicate.family == socket.AF_INET \
                    and port in (addresses[0][1], addresses[1][1]):
                result[addresses] = duplicate
            else:
                duplicate.close()
    finally:
        os.close(pidfd)
    return result


def silence(process, others, port):
    """All connections of `process` by `port` go silent, here and at `others`; returns how many."""
    own_sockets = connections(process, port)
    address_pairs = set(own_sockets) | {(remote, local) for local, remote in own_sockets}
    sockets = list(own_sockets.values())
    for other in others:
        for pair, duplicate in connections(other, port).items():
            if pair in address_pairs:
                sockets.append(duplicate)
            else:
                duplicate.close()
    code = ctypes.create_string_buffer(DROP_ALL)
    program = struct.pack("HL", 1, ctypes.addressof(code))
    for duplicate in sockets:
        duplicate.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, program)
        duplicate.close()
    return len(own_sockets)

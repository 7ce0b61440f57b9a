"""Silences established connections between processes for good, without a reset.

A socket filter at both ends drops every incoming packet. Later connections are not affected. Works
on processes of the same user that this process started.
"""

import ctypes
import os
import socket
import struct

PIDFD_GETFD = 438  # System call number on every architecture; Python has no wrapper.
ATTACH_FILTER = 26  # SO_ATTACH_FILTER of asm-generic/socket.h.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)  # BPF_RET | BPF_K: keeps 0 bytes of a packet.


def connections(process, port):
    """Returns duplicates of a process's TCP sockets with `port` at one end, by (local, remote)."""
    library = ctypes.CDLL(None, use_errno=True)
    result = {}
    pidfd = os.pidfd_open(process.pid)
    try:
        for name in os.listdir(f"/proc/{process.pid}/fd"):
            try:
                if not os.readlink(f"/proc/{process.pid}/fd/{name}").startswith("socket:"):
                    continue
            except OSError:
                continue  # Closed in the meantime.
            descriptor = library.syscall(PIDFD_GETFD, pidfd, int(name), 0)
            if descriptor < 0:
                if ctypes.get_errno() == 1:
                    raise PermissionError("not permitted to duplicate sockets of a process")
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
    """Silences all connections of `process` with `port`, at both ends; returns their number.

    `others` are the processes that may hold the other ends.
    """
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

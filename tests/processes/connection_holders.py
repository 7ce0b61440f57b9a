"""Callers that keep connections open, and open another one whenever one is closed.

A process of its own: its work does not delay the callers and back ends of the test beside it.

Usage: connection_holders.py HOST PORT COUNT PAUSE_S < TEXT_THAT_EACH_SENDS
"""

import heapq
import itertools
import selectors
import socket
import sys
import time


def main():
    host, port, count, pause_s = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    text = sys.stdin.buffer.read()
    selector = selectors.DefaultSelector()
    numbers = itertools.count()
    waiting = [(time.monotonic(), next(numbers)) for _ in range(count)]  # Times of the next tries.

    def close(connection):
        selector.unregister(connection)
        connection.close()
        heapq.heappush(waiting, (time.monotonic() + pause_s, next(numbers)))

    while True:
        while waiting and waiting[0][0] <= time.monotonic():
            heapq.heappop(waiting)
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((host, port))
            selector.register(connection, selectors.EVENT_WRITE)
        for key, mask in selector.select(pause_s):
            try:
                if mask & selectors.EVENT_WRITE:
                    key.fileobj.send(text)
                    selector.modify(key.fileobj, selectors.EVENT_READ)
                elif not key.fileobj.recv(1 << 16):
                    close(key.fileobj)
            except BlockingIOError:
                pass
            except OSError:
                close(key.fileobj)  # Refused or reset.


if __name__ == "__main__":
    main()

"""Callers in a separate process, which a test can pause. Each caller sends one request after the
other, each on a new connection, until the gateway refuses connections.

Usage: paused_callers.py PORT CALLERS. Prints a JSON object: `answered` is the number of complete
responses, and `broken` lists [seconds since the start, error] of each request without one.
"""

import asyncio
import json
import sys
import time

RESPONSE_TIMEOUT_S = 10
RUN_TIMEOUT_S = 25
REQUEST = (b"POST /chat/1 HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: nobody\r\n"
           b"X-Pumicemast-Request-Id: q1\r\nX-Pumicemast-Deadline-Ms: 5000\r\n"
           b"Content-Length: 0\r\n\r\n")


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            await reader.readexactly(int(value))


async def call(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(REQUEST)
        await asyncio.wait_for(read_response(reader), RESPONSE_TIMEOUT_S)
    finally:
        writer.close()


async def keep_calling(port, started_at, result):
    while True:
        try:
            await call(port)
            result["answered"] += 1
        except ConnectionRefusedError:
            return
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            result["broken"].append([round(time.monotonic() - started_at, 3), repr(error)])


async def main():
    port, callers = int(sys.argv[1]), int(sys.argv[2])
    result = {"answered": 0, "broken": []}
    started_at = time.monotonic()
    calls = [keep_calling(port, started_at, result) for _ in range(callers)]
    await asyncio.wait_for(asyncio.gather(*calls), RUN_TIMEOUT_S)
    print(json.dumps(result))


asyncio.run(main())

"""Clients outside the limits: connections that send without end, read nothing and stay open until they are closed."""
import asyncio

from .http11 import split_endpoint

MOST_BYTES = 256 * 1024  # of one connection
PART_BYTES = 16 * 1024


def _repeat(text):
    return text * (MOST_BYTES // len(text))


WIDE = b"[" + b"{}," * (MOST_BYTES // 4) + b"0]"
# form -> what each connection sends; a body at a path of each address that takes one
FORMS = {
    "requests-ahead": _repeat(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"),
    "endless-line": b"GET /" + b"x" * MOST_BYTES,
    "endless-fields": b"GET / HTTP/1.1\r\n" + _repeat(b"a:b\r\n"),
    "empty-lines": _repeat(b"\r\n"),
    "half-head": b"GET / HTTP/1.1\r\nHost: a\r\n",
    "half-body": b"POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n" + b"x" * (MOST_BYTES // 2),
    "wide-batch": b"POST /internal/v1/start-batch HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
                  b"Content-Length: %d\r\n\r\n%s" % (len(WIDE), WIDE),
    "wide-announcement": b"PUT /sycamoremoor/instances/i-0 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s" % (len(WIDE), WIDE)}


class Crowd:
    """Connections to some addresses, closed together."""

    def __init__(self, endpoints, connections, form):
        self.writers = []
        self.tasks = [asyncio.create_task(self._send(endpoint, FORMS[form])) for endpoint in endpoints for _ in range(connections)]

    async def _send(self, endpoint, text):
        try:
            _, writer = await asyncio.open_connection(*split_endpoint(endpoint), limit=1)  # reads next to nothing
            self.writers.append(writer)
            for begin in range(0, len(text), PART_BYTES):
                writer.write(text[begin:begin + PART_BYTES])
                await writer.drain()
        except OSError:
            pass  # refused or closed, which is allowed

    def close(self):
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()

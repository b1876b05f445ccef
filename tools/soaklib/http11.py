"""HTTP/1.1 for the stand-ins: one message at a time on each connection."""
import asyncio
import json
import socket
import time

_BEGIN = time.monotonic()
WALL_BEGIN = time.time()  # of the same moment, to find log lines by their time of day
_taken_ports = set()


def now():
    """Returns seconds since the tool was started, by the monotonic clock."""
    return time.monotonic() - _BEGIN


def free_port(address):
    """Returns a port of a loopback address that this tool has not given away before."""
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            port = probe.getsockname()[1]
        if (address, port) not in _taken_ports:
            _taken_ports.add((address, port))
            return port


def split_endpoint(endpoint):
    address, _, port = endpoint.rpartition(":")
    return address, int(port)


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return lines[0], headers, body
        return lines[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
        return None


def http_answer(status, body):
    text = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text


class Server:
    """Serves handle(method, target, headers, body, peer), which returns (status, body), or None to close without an answer."""

    MAX_HEAD_BYTES = 1 << 20

    def __init__(self):
        self.connections, self.server, self.endpoint = set(), None, ""

    async def listen(self, address, port=None):
        port = port or free_port(address)
        self.endpoint = f"{address}:{port}"
        self.server = await asyncio.start_server(self._serve, address, port, limit=self.MAX_HEAD_BYTES)

    def close(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def handle(self, method, target, headers, body, peer):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        peer = (writer.get_extra_info("peername") or ("",))[0]
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2], peer)
                if answer is None:
                    writer.transport.abort()
                    break
                writer.write(http_answer(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def call(endpoint, method, path, body=None, headers=(), timeout=None):
    """Makes one call on a connection of its own. Returns (status, body), or None without an answer."""
    text = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    if not any(name == "Host" for name, _ in headers):
        head += f"Host: {endpoint}\r\n"

    async def exchange():
        reader, writer = await asyncio.open_connection(*split_endpoint(endpoint))
        try:
            writer.write(head.encode() + b"\r\n" + text)
            return await read_message(reader)
        finally:
            writer.close()

    try:
        message = await asyncio.wait_for(exchange(), timeout)
        return None if message is None else (int(message[0].split(" ")[1]), message[2])
    except (asyncio.TimeoutError, OSError, ValueError, IndexError):
        return None

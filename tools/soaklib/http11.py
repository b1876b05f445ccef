"""HTTP/1.1 for the stand-ins: one message at a time on each connection."""
import asyncio
import contextlib
import json
import os
import socket
import time

_BEGIN = time.monotonic()
WALL_BEGIN = time.time()  # of the same moment, to find log lines by their time of day
MAX_HEAD_BYTES = 1 << 20
_ports = iter(range(10000 + os.getpid() % 1000 * 20, 32768))  # runs beside this one begin elsewhere


def now():
    """Returns seconds since the tool was started, by the monotonic clock."""
    return time.monotonic() - _BEGIN


def free_port(address):
    """Returns a port of a loopback address, below those that the system gives to outgoing connections: it may be opened again and again."""
    for port in _ports:
        with contextlib.suppress(OSError), socket.create_server((address, port)):
            return port
    raise OSError("no port is free")


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


class Server:
    """Serves handle(target, headers, body, peer) of a subclass, which returns (status, body), or None to close without an answer."""

    def __init__(self):
        self.connections, self.server, self.endpoint = set(), None, ""

    async def listen(self, address, port=None):
        port = port or free_port(address)
        self.endpoint = f"{address}:{port}"
        self.server = await asyncio.start_server(self._serve, address, port, limit=MAX_HEAD_BYTES)

    def close(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        self.reset_connections()

    def reset_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        peer = (writer.get_extra_info("peername") or ("",))[0]
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.handle(message[0].split(" ")[1], message[1], message[2], peer)
                if answer is None:
                    writer.transport.abort()
                    break
                text = json.dumps(answer[1]).encode()
                head = f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                writer.write(head.encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def wait_for_event(event, seconds):
    with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(event.wait(), seconds)


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

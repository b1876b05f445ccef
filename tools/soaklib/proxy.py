"""A loopback proxy on one path, with faults."""
import asyncio

from .http11 import free_port, split_endpoint

READ_BYTES = 1 << 16
# delay: bytes arrive later; refuse: nothing listens; up, down: bytes of one direction stay away; silent: of both, and of new connections;
# hang-new: only new connections stay silent; refuse-new: open connections are silent, new ones are refused. reset and half-reset happen
# once: half-reset reaches only the side that opened, and the other one hears nothing more.
ONCE = ("reset", "half-reset")


class _Link:
    """One connection through the proxy."""

    def __init__(self, near):
        self.near, self.far, self.first, self.is_new, self.is_half = near, None, b"", True, False

    def abort(self):
        for writer in filter(None, (self.near, None if self.is_half else self.far)):
            writer.transport.abort()


class Proxy:
    """Forwards connections to a target. A fault applies to connections whose first bytes contain its text, all if that is empty."""

    def __init__(self, target, source=None):
        self.target, self.source = target, source
        self.links, self.server, self.endpoint = [], None, ""
        self.faults = {}  # number -> (how, text, delay in seconds)
        self.changed = asyncio.Event()
        self.is_target_up = True

    async def start(self, address):
        self.endpoint = f"{address}:{free_port(address)}"
        await self._update_listener()

    async def _update_listener(self):
        hows = {how for how, _, _ in self.faults.values()}
        wanted = self.is_target_up and not hows & {"refuse", "refuse-new"}
        if wanted and not self.server:
            self.server = await asyncio.start_server(self._serve, *split_endpoint(self.endpoint))
        elif not wanted and self.server:
            self.server.close()
            self.server = None
        if not self.is_target_up or "refuse" in hows:
            self.reset("")

    async def set_target_up(self, is_up):
        """Refuses connections, as the target does, while it is down."""
        self.is_target_up = is_up
        await self._update_listener()

    def reset(self, text, near_only=False):
        for link in list(self.links):
            if text.encode() in link.first:
                link.is_half = near_only
                link.abort()

    async def begin(self, number, how, text="", delay=0.0):
        if how in ONCE:
            self.reset(text, near_only=how == "half-reset")
            return
        for link in self.links:
            link.is_new = False
        self.faults[number] = (how, text, delay)
        await self._update_listener()

    async def end(self, number, reset=False):
        """Ends a fault. Bytes that were held are delivered, or the connections are reset."""
        how, text, _ = self.faults.pop(number, ("", "", 0))
        if reset:
            self.reset(text)
        self.changed.set()
        self.changed = asyncio.Event()
        if how:
            await self._update_listener()

    def _holds(self, link, upward):
        blocking = ("silent", "refuse-new", "up" if upward else "down") + (("hang-new",) if link.is_new else ())
        return any(how in blocking and text.encode() in link.first for how, text, _ in self.faults.values())

    async def _pump(self, link, reader, writer, upward, data=b""):
        """Passes on some bytes and all that follow them, and the end."""
        try:
            is_open = True
            while is_open:
                data = data or await reader.read(READ_BYTES)
                delays = [seconds for how, text, seconds in self.faults.values() if how == "delay" and text.encode() in link.first]
                await asyncio.sleep(max(delays, default=0))
                while self._holds(link, upward):
                    await self.changed.wait()
                if data and not link.is_half:
                    writer.write(data)
                    await writer.drain()
                is_open, data = bool(data), b""
        except (ConnectionError, asyncio.CancelledError):
            link.abort()
        finally:
            if not link.is_half:
                writer.close()

    async def _serve(self, reader, writer):
        link = _Link(writer)
        self.links.append(link)
        try:
            link.first = await reader.read(READ_BYTES)
            while link.first and self._holds(link, True):
                await self.changed.wait()
            if link.first:
                source = (self.source, 0) if self.source else None
                far_reader, link.far = await asyncio.open_connection(*split_endpoint(self.target), local_addr=source)
                await asyncio.gather(self._pump(link, reader, link.far, True, link.first), self._pump(link, far_reader, writer, False))
        except (OSError, asyncio.CancelledError):
            link.abort()
        finally:
            self.links.remove(link)
            for side in filter(None, (link.near, link.far)):
                side.close()

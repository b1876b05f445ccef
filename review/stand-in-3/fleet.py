"""Stand-ins of the platform (store, runners, clients) and a small fleet of schedulers and guards on loopback."""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "bin", "sycamoremoord")
RESEND_MS = 1300
HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
HOST = "nony24.example"
SERVICE = "reclaim-desk"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class HttpServer:
    """An HTTP/1.1 server; handle(method, path, headers, body) returns status and JSON value, or None to leave without an answer."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await reader.read()
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends like a process: the listener and all connections are closed."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(ip, port, method, path, value=None, headers=None, limit=2.0):
    """One call on a channel of its own; returns status and JSON value, or (0, reason) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(ip, port)
            body = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
            fields = {"Host": f"{ip}:{port}", "Content-Type": "application/json", **(headers or {})}
            if method != "GET":
                fields["Content-Length"] = str(len(body))
            head = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            message = await read_message(reader)
            if message is None:
                return 0, "broken"
            status = int(message[0].split(" ")[1])
            return status, json.loads(message[2]) if message[2] else None
    except TimeoutError:
        return 0, "no response"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, f"broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()


class Store(HttpServer):
    """The platform's metadata store, as far as the programs use it."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["createRev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "createRev": created, "lease": 0}
        self.items[key] = item
        self.tell(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.tell({"key": key, "revision": self.revision, "deleted": True})

    def tell(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if path == "/sycamoremoor/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if path == "/sycamoremoor/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]], "morePages": len(keys) > 500, "currentRev": self.revision}
        if path == "/sycamoremoor/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [e for e in self.events if e["revision"] > after and e["key"].startswith(query.get("prefix", ""))]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/sycamoremoor/kv-txn":
            order = json.loads(body)
            for row in order.get("expect", []):
                known = self.items.get(row["key"])
                if (known["revision"] if known else 0) != row["revision"]:
                    return 412, {"items": [self.items[r["key"]] for r in order["expect"] if r["key"] in self.items]}
            puts, removed = order.get("puts", []), order.get("remove", [])
            if any(key.startswith(("op/", "servers/")) for key in [put["key"] for put in puts] + removed):
                return 403, {}
            for put in puts:
                self.put(put["key"], base64.b64decode(put["value"]))
            for key in removed:
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}


class Run:
    """One task that runs on a runner."""

    def __init__(self, task, number, spec, milliseconds, began):
        self.task, self.number, self.spec = task, number, spec
        self.milliseconds, self.began = milliseconds, began


class Runner(HttpServer):
    """One boot of a runner: lease, fence number, lists, and no check of its room (admissionCheck false)."""

    def __init__(self, fleet, name, ip, port, guard, labels, capacity, boot):
        super().__init__()
        self.fleet, self.name, self.ip, self.port, self.guard = fleet, name, ip, port, guard
        self.id, self.labels, self.capacity = boot, labels, capacity
        self.zero = time.monotonic() - random.uniform(100, 900)
        self.born = int(time.time() * 1000)
        self.fence, self.until, self.sequence = 0, 0, 0
        self.runs, self.ended, self.highest, self.last = {}, [], {}, 0
        self.state, self.remaining = "ready", None
        self.alive, self.end_event, self.tasks = True, asyncio.Event(), []
        self.orders = None  # hook: async (path, order) -> None to go on, or "drop"

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        await self.listen(self.ip, self.port)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def crash(self):
        self.alive = False
        for run in list(self.runs.values()):
            self.fleet.ran(self, run, "crashed")
        self.runs.clear()
        self.close()
        for task in self.tasks:
            task.cancel()

    async def beat(self):
        while self.alive:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def report(self):
        body = {"service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.guard["zone"], "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock(),
                "sequence": self.sequence, "born": self.born}
        if self.remaining is not None:
            body["remainingMs"] = self.remaining
        return body

    async def announce(self):
        self.sequence += 1
        answer = await call(*self.guard["announcements"], "PUT", f"/sycamoremoor/instances/{self.id}", self.report(), limit=1.0)
        self.fleet.heartbeats += 200 <= answer[0] < 300
        return answer

    async def work(self):
        while self.alive:
            now = time.monotonic()
            if self.runs and self.clock() >= self.until:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if (now - run.began) * 1000 >= run.milliseconds:
                    self.end(run, "done")
            await asyncio.sleep(0.002)

    def end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self.last += 1
        self.ended.append([self.last, run.task, run.number, how, ""])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.fleet.ran(self, run, how)
        self.end_event.set()
        self.end_event = asyncio.Event()

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    def lists(self):
        now = time.monotonic()
        running = [[r.task, r.number, "", min(99, int((now - r.began) * 100000 / max(1, r.milliseconds)))] for r in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    async def handle(self, method, target, headers, body):
        order = json.loads(body) if body else {}
        path = target.rsplit("/", 1)[1]
        if self.orders is not None and await self.orders(path, order) == "drop":
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        if order.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = order.get("fence", 0)
        if path == "run-start":
            return self.start_run(order)
        if path == "run-stop":
            run = self.runs.get((order["task"], order["run"]))
            self.highest[order["task"]] = max(self.highest.get(order["task"], 0), order["run"])
            if run is not None:
                asyncio.get_running_loop().call_later(0.01, self.end, run, "stopped")
            return 200, {"clockMs": self.clock()}
        if path == "hold":
            if "untilMs" in order:
                self.extend(order["untilMs"])
            self.ended = [row for row in self.ended if row[0] > order.get("ackedUpto", 0)]
            if order.get("waitMs", 0) > 0 and not self.ended:
                try:
                    await asyncio.wait_for(self.end_event.wait(), min(2000, order["waitMs"]) / 1000)
                except TimeoutError:
                    pass
            return self.lists()
        return 404, {}

    def start_run(self, order):
        key = (order["task"], order["run"])
        if key in self.runs:
            return 200, {"clockMs": self.clock()}
        if order["run"] <= self.highest.get(order["task"], 0):
            self.extend(order["untilMs"])
            return self.refuse("old")
        if order["untilMs"] <= self.clock():
            return self.refuse("late")
        self.extend(order["untilMs"])
        milliseconds = 100
        for word in order["spec"].split():
            if word.startswith("ms="):
                milliseconds = int(word[3:])
        run = Run(order["task"], order["run"], order["spec"], milliseconds, time.monotonic())
        self.runs[key] = run
        self.fleet.started(self, run)
        return 200, {"clockMs": self.clock()}


class Proxy:
    """Forwards connections to one address. While cut, bytes are held; silence() drops what is open without a reset."""

    def __init__(self, ip, target):
        self.ip, self.port, self.target = ip, free_port(ip), target
        self.open = asyncio.Event()
        self.open.set()
        self.transports = set()
        self.dead = set()
        self.delay = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            upstream = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = object()
        self.transports |= {writer, upstream[1]}
        await asyncio.gather(self.pump(pair, reader, upstream[1]), self.pump(pair, upstream[0], writer))

    async def pump(self, pair, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                if self.delay:
                    await asyncio.sleep(self.delay)
                if writer in self.dead:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        await self.open.wait()
        if writer not in self.dead:
            writer.close()

    def silence(self):
        """What is open carries nothing any more; new connections work."""
        self.dead |= self.transports

    def reset(self):
        for writer in self.transports:
            writer.transport.abort()
        self.transports = set()


class Fleet:
    """Schedulers, guards and runners of one service, with the settings of a small deployment."""

    def __init__(self, record, fronts=2, sides=3, zones=("trnava-a", "nitra-b", "senec-c"), log_path=None, proxied=False):
        self.record = record
        self.zones = zones
        self.fronts = [{"name": f"front-{zones[n % len(zones)]}-1", "zone": zones[n % len(zones)], "ip": f"127.0.0.{n + 2}"} for n in range(fronts)]
        self.sides = [{"name": f"side-{zones[n % len(zones)]}-{n // len(zones) + 1}", "zone": zones[n % len(zones)], "ip": f"127.0.1.{n + 2}"}
                      for n in range(sides)]
        self.store, self.runners, self.processes = Store(), {}, {}
        self.live, self.starts, self.ends, self.overlaps = {}, [], [], []
        self.log_path = log_path or os.devnull
        self.boots, self.heartbeats = 0, 0
        self.proxied = proxied  # schedulers reach guards through a proxy, side["proxy"]
        self.evacuate_ms = ""

    # -- what runners see
    def started(self, runner, run):
        now = self.record.now()
        self.record.write(f"run    start {run.task} run {run.number} on {runner.name} ({runner.id})")
        self.starts.append((now, run.task, run.number, runner, run.spec))
        others = [other for other in self.live.get(run.task, [])]
        if others:
            self.overlaps.append((now, run.task, [(o[0].name, o[1].number) for o in others], (runner.name, run.number)))
            self.record.write(f"run    TWO AT ONCE {run.task}: also run {others[0][1].number} on {others[0][0].name}")
        self.live.setdefault(run.task, []).append((runner, run))

    def ran(self, runner, run, how):
        self.record.write(f"run    {how} {run.task} run {run.number} on {runner.name}")
        self.ends.append((self.record.now(), run.task, run.number))
        self.live[run.task] = [entry for entry in self.live.get(run.task, []) if entry[1] is not run]

    # -- processes
    async def up(self, queues=None):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun(f"{BINARY} is not built")
        self.store_address = ("127.0.0.1", free_port("127.0.0.1"))
        await self.store.listen(*self.store_address)
        self.configure(1, queues)
        for side in self.sides:
            side["listen"] = (side["ip"], free_port(side["ip"]))
            side["announcements"] = (side["ip"], free_port(side["ip"]))
            side["app"] = (side["ip"], free_port(side["ip"]))
            if self.proxied:
                side["proxy"] = Proxy(side["ip"], side["listen"])
                await side["proxy"].start()
        for front in self.fronts:
            for name in ("listen", "callers", "readiness"):
                front[name] = (front["ip"], free_port(front["ip"]))
        for side in self.sides:
            self.start_guard(side)
            await self.boot(side)
        for front in self.fronts:
            self.start_front(front)
        await self.wait_ready()

    def configure(self, version, queues=None):
        routes = queues or [
            {"name": "r-73hh2b9", "host": HOST, "prefix": "/pule252/", "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
             "priority": 1, "service": SERVICE, "maxAttempts": 4, "stretch": 1.6}]
        value = {"version": version, "routes": routes,
                 "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                               "admissionCheck": False, "spare": False}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.store.put("op/config", json.dumps(value).encode())


    def flags(self, machine):
        return [f"--name={machine['name']}", f"--zone={machine['zone']}", "--region=sk-west",
                "--listen=%s:%d" % machine["listen"], "--platform=%s:%d" % machine.get("store", self.store_address)]

    def start_guard(self, side):
        arguments = ["--role=guard", *self.flags(side), "--announcements=%s:%d" % side["announcements"], "--drain-within-ms=2000",
                     f"--evacuate-within-ms={self.evacuate_ms}", "--memory-limit-mb=128", "--descriptor-limit=4096", "--log-format=json"]
        if self.proxied:
            arguments.append(f"--advertise={side['proxy'].ip}:{side['proxy'].port}")
        self.processes[side["name"]] = Process(self, side["name"], arguments)

    def start_front(self, front):
        arguments = ["--role=scheduler", *self.flags(front), "--callers=%s:%d" % front["callers"],
                     "--readiness=%s:%d" % front["readiness"], f"--resubmit-after-ms={RESEND_MS}",
                     f"--evacuate-within-ms={self.evacuate_ms}", "--memory-limit-mb=260", "--descriptor-limit=4100", "--log-format=json"]
        self.processes[front["name"]] = Process(self, front["name"], arguments)

    async def boot(self, side, labels=None, capacity=None, boot=None):
        self.boots += 1
        side["rack"] = side.get("rack", f"r1-{self.sides.index(side) // 3 + 1}")
        runner = Runner(self, side["name"].replace("side", "runner"), *side["app"], side, labels or ["a", side["rack"]],
                        capacity or {"cpu": 32000, "memMb": 131072, "gpu": 0}, boot or f"i-{self.boots:08x}")
        self.runners[side["name"]] = runner
        await runner.start()
        return runner

    async def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        for front in self.fronts:
            while (await call(*front["readiness"], "GET", "/sycamoremoor/ready", limit=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{front['name']} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    async def down(self):
        for process in self.processes.values():
            process.kill()
        for runner in self.runners.values():
            runner.alive = False
            runner.close()
            for task in runner.tasks:
                task.cancel()
        self.store.close()

    # -- clients
    async def post(self, front, job, steps, spec, deadline_ms=1500, best_effort=True, prefix="/pule252/", port=None):
        body = {"spec": spec, "steps": steps}
        if best_effort:
            body["bestEffort"] = True
        self.record.write(f"client POST {job} to {front['name']}")
        status, value = await call(*(port or front["callers"]), "POST", prefix + job, body,
                                   {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}, deadline_ms / 1000)
        self.record.write(f"client POST {job} at {front['name']} -> {status} {value}")
        return status, value

    async def delete(self, front, job, prefix="/pule252/", deadline_ms=1500):
        self.record.write(f"client DELETE {job} to {front['name']}")
        status, value = await call(*front["callers"], "DELETE", prefix + job, None,
                                   {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}, deadline_ms / 1000)
        self.record.write(f"client DELETE {job} at {front['name']} -> {status} {value}")
        return status, value


class Process:
    """One process of the project."""

    def __init__(self, fleet, name, arguments):
        self.fleet, self.name, self.arguments = fleet, name, arguments
        log = open(fleet.log_path, "ab")
        self.process = subprocess.Popen([BINARY, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)
        log.close()

    def signal(self, number):
        self.fleet.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def is_up(self):
        return self.process.poll() is None


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(play, folder, trouble):
    """Runs play(record, trouble) -> True if the rule held; without trouble the disruption is left out. Exits with 0, 1 if it was broken, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the processes are ended then, too
    try:
        held = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except (Exception, KeyboardInterrupt) as error:  # an error of the script is no verdict
        record.write(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)

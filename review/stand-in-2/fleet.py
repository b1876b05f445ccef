"""Stand-ins for the platform around sycamoremoor: store, runners, callers. Used by the scripts of review/6 to review/10.

Everything runs in one process on loopback addresses; the schedulers and guards are the project's own programs, started with the
commands of deploy/system.toml. Times in the record are seconds since the start of the script.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "sycamoremoord")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "reclaim"
HOST = "desk.example"
HOLD_MAX_MS = 1000     # bounds.holdMaxMs
STOP_TIMEOUT_MS = 50   # bounds.stopTimeoutMs: a stop takes at most this long
HEARTBEAT_S = 1.5      # heartbeatMs
RESEND_S = 1.3         # bounds.resendMs

HELD, BROKEN, NOT_RUN = 0, 1, 2
_begin = time.monotonic()


def now():
    return time.monotonic() - _begin


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, who, what):
        self._file.write(f"{now():8.3f} {who:10} {what}\n")
        self._file.flush()


def free_port(address, taken=set()):
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            port = probe.getsockname()[1]
        if port not in taken:
            taken.add(port)
            return port


async def read_message(reader):
    """Reads one HTTP message. Returns (first line, headers, body), or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def http_answer(status, body):
    text = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text


class Server:
    """An HTTP/1.1 server: one answer after the other on each channel."""

    async def listen(self, address, port):
        self.address, self.port, self.channels = address, port, set()
        self.server = await asyncio.start_server(self._serve, address, port, limit=1 << 20)

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None:
                    break
                writer.write(http_answer(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def reset_channels(self):
        for writer in list(self.channels):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        self.items, self.events, self.revision, self.changed = {}, [], 1, asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        before = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                "createRev": before["createRev"] if before else self.revision, "lease": 0}
        self.items[key] = item
        self.events.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        from urllib.parse import unquote
        args = {k: unquote(v) for k, _, v in (part.partition("=") for part in query.split("&") if part)}
        if path == "/sycamoremoor/kv-range":
            items = [self.items[k] for k in sorted(self.items) if k.startswith(args["prefix"]) and k > args.get("after", "")]
            return 200, {"items": items, "currentRev": self.revision}
        if path == "/sycamoremoor/kv-key":
            return (200, self.items[args["key"]]) if args["key"] in self.items else (404, {})
        if path == "/sycamoremoor/kv-watch":
            end = now() + int(args["waitMs"]) / 1000
            while True:
                found = [e for e in self.events if e["revision"] > int(args["after"]) and e["key"].startswith(args["prefix"])]
                if found or now() >= end:
                    return 200, {"events": found, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass
        if path == "/sycamoremoor/kv-txn":
            call = json.loads(body)
            for row in call.get("expect", []):
                key, revision = (row["key"], row["revision"]) if isinstance(row, dict) else row
                if self.items.get(key, {"revision": 0})["revision"] != revision:
                    return 412, {"items": []}
            for item in call.get("puts", []):
                self.put(item["key"], base64.b64decode(item["value"]).decode())
            return 200, {"revision": self.revision}
        return 400, {}


class Proxy:
    """
    The path to a guard. Its channels can be reset, and the opening packets of new ones can be lost for a while: of all schedulers, or of
    one, whose name stands in the first bytes of each of its channels.
    """

    def __init__(self, target, record):
        self.target, self.record, self.channels, self.opens = target, record, [], asyncio.Event()
        self.opens.set()
        self.lost = ""

    async def start(self, address):
        self.endpoint = f"{address}:{free_port(address)}"
        await asyncio.start_server(self._serve, address, int(self.endpoint.rsplit(":", 1)[1]))

    async def _serve(self, reader, writer):
        first = await reader.read(1 << 16)
        if self.lost.encode() in first:
            await self.opens.wait()
        address, port = self.target.rsplit(":", 1)
        try:
            guard_reader, guard_writer = await asyncio.open_connection(address, int(port))
        except OSError:
            writer.transport.abort()
            return
        channel = {"writers": (writer, guard_writer), "first": first}
        self.channels.append(channel)
        guard_writer.write(first)

        async def pump(source, sink):
            try:
                while data := await source.read(1 << 16):
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, guard_writer), pump(guard_reader, writer))
        if channel in self.channels:
            self.channels.remove(channel)

    def lose_new(self, scheduler=""):
        self.record.add("network", f"new channels {'of ' + scheduler + ' ' if scheduler else ''}to {self.target} hang")
        self.lost = scheduler
        self.opens.clear()

    def heal(self):
        self.record.add("network", f"new channels to {self.target} open again")
        self.opens.set()

    def reset(self, text):
        """Resets the open channels whose first request contains a text."""
        for channel in list(self.channels):
            if text.encode() in channel["first"]:
                self.record.add("network", f"a channel with {text} is reset")
                for writer in channel["writers"]:
                    writer.transport.abort()


class Runs:
    """All runs on all runners, and whether the rules on them are kept."""

    def __init__(self, record):
        self.record, self.all = record, []

    def begin(self, runner, task, number, need):
        run = {"runner": runner, "task": task, "run": number, "need": need, "begin": now(), "end": None, "how": None}
        self.all.append(run)
        self.record.add(runner, f"run {task} {number} begins")
        return run

    def end(self, run, how):
        run["end"], run["how"] = now(), how
        self.record.add(run["runner"], f"run {run['task']} {run['run']} ends {how} after {run['end'] - run['begin']:.3f} s")

    def of(self, job):
        return [run for run in self.all if run["task"].startswith(job + ".")]

    def overlaps(self):
        """Returns pairs of runs of one task that were at work at the same time, and for how long."""
        by_task, found = {}, []
        for run in self.all:
            for other in by_task.get(run["task"], []):
                common = min(run["end"] or now(), other["end"] or now()) - max(run["begin"], other["begin"])
                if common > 0:
                    found.append((other, run, common))
            by_task.setdefault(run["task"], []).append(run)
        return found


class Runner(Server):
    """A runner. A task works for the milliseconds that its spec begins with; the runner starts whatever it is told to."""

    def __init__(self, name, runs, record, control, labels=("a", "r1-1"), cpu=16000):
        self.name, self.runs, self.record, self.control = name, runs, record, control
        self.labels, self.cpu = list(labels), cpu
        self.silent = self.falls_silent = False  # from the next hold on, if it falls silent
        self.boot()

    def boot(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic() - 1.0
        self.fence = 0
        self.running, self.highest, self.ended = {}, {}, []
        self.last_end, self.sequence, self.lease = 0, 0, 0
        self.state = "ready"
        self.cut_off = asyncio.Event()
        self.end_event = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self, address):
        await self.listen(address, free_port(address))
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._expire())]

    async def crash(self, down_s, **changes):
        """Ends with all that runs here, and starts again under the same id after a while, perhaps as another kind."""
        self.record.add(self.name, "crashes")
        for task in self.tasks:
            task.cancel()
        self.server.close()
        self.reset_channels()
        for run in list(self.running.values()):
            self.runs.end(run, "lost")
        self.running = {}
        await asyncio.sleep(down_s)
        for name, value in changes.items():
            setattr(self, name, value)
        self.boot()
        await self.listen(self.address, self.port)
        self.record.add(self.name, f"is up again, labels {self.labels}, cpu {self.cpu}")
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._expire())]

    def announcement(self):
        return {"service": SERVICE, "address": f"{self.address}:{self.port}", "zone": "zone-a", "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0, "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}

    async def announce(self):
        self.sequence += 1
        path = f"/sycamoremoor/instances/{self.name}"
        try:
            answer = await asyncio.wait_for(call(self.control, "PUT", path, self.announcement()), 1)
            return answer is not None and answer[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S if await self.announce() else 0.2)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() >= self.lease:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        if self.running.get(run["task"]) is not run:
            return
        del self.running[run["task"]]
        self.runs.end(run, how)
        self.last_end += 1
        self.ended.append([self.last_end, run["task"], run["run"], how, ""])
        self.highest[run["task"]] = max(self.highest.get(run["task"], 0), run["run"])
        self.end_event.set()
        self.end_event = asyncio.Event()

    def _prolong(self, until):
        self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body):
        if self.falls_silent and target == "/sycamoremoor/hold" and not self.silent:
            self.silent, self.falls_silent = True, False
            self.record.add(self.name, "is cut off")
            self.cut_off.set()
        if self.silent:
            await asyncio.sleep(60)
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock()}
        order = json.loads(body) if body else {}
        if order.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = order.get("fence", 0)
        if target == "/sycamoremoor/hold":
            return await self._hold(order)
        if target == "/sycamoremoor/run-start":
            return self._start(order)
        if target == "/sycamoremoor/run-stop":
            return self._stop(order)
        return 404, {}

    async def _hold(self, order):
        if "untilMs" in order:
            self._prolong(order["untilMs"])
        self.ended = [end for end in self.ended if end[0] > order.get("ackedUpto", 0)]
        if order.get("waitMs") and not self.ended:
            try:
                await asyncio.wait_for(self.end_event.wait(), order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run["task"], run["run"], "", 100] for run in self.running.values()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def _refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def _start(self, order):
        task, number = order["task"], order["run"]
        known = self.running.get(task)
        if known and known["run"] == number:
            return 200, {"clockMs": self.clock()}
        if number <= self.highest.get(task, 0) or known:
            self._prolong(order["untilMs"])
            return self._refuse("old")
        if order["untilMs"] <= self.clock():
            return self._refuse("late")
        self._prolong(order["untilMs"])
        run = self.runs.begin(self.name, task, number, None)
        run["spec"] = order["spec"]
        self.running[task] = run
        asyncio.get_running_loop().call_later(int(order["spec"].split(" ", 1)[0]) / 1000, self._end, run, "done")
        return 200, {"clockMs": self.clock()}

    def _stop(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run["run"] <= number:
            asyncio.get_running_loop().call_later(STOP_TIMEOUT_MS / 2000, self._end, run, "stopped")
        return 200, {"clockMs": self.clock()}


async def call(endpoint, method, path, body=None, headers=(), patience=None):
    """Makes one call on a channel of its own. Returns (status, body), or None if none came within patience or the channel broke."""
    address, port = endpoint.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port))
    text = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    head = f"{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    if not any(name.lower() == "host" for name, _ in headers):
        head += f"Host: {endpoint}\r\n"
    try:
        writer.write(head.encode() + b"\r\n" + text)
        message = await asyncio.wait_for(read_message(reader), patience)
        return None if message is None else (int(message[0].split(" ")[1]), message[2])
    except (asyncio.TimeoutError, ConnectionError):
        return None
    finally:
        writer.close()


class Caller:
    """A client of the platform: its calls, answers and patience."""

    def __init__(self, name, record):
        self.name, self.record = name, record

    async def send(self, scheduler, method, path, body=None, limit=1.5, leaves=None):
        """Sends a request with a time limit. A client that gives up leaves earlier. Returns (status, body), or None."""
        text = json.dumps(body).encode() if body is not None else None
        self.record.add(self.name, f"{method} {path} to {scheduler.name}, {len(text or b'')} bytes, time limit {limit} s")
        headers = [("Host", HOST), ("X-Deadline-Ms", str(int(limit * 1000)))]
        try:
            answer = await call(scheduler.callers, method, path, text, headers, leaves or limit)
        except OSError:
            answer = None
        said = "no answer" if answer is None else f"{answer[0]} {answer[1].decode(errors='replace')[:120]}"
        self.record.add(self.name, f"{method} {path} at {scheduler.name}: {said}")
        return answer


class Program:
    """One process of the project."""

    def __init__(self, name, arguments, logs):
        self.name = name
        self.log = open(os.path.join(logs, name + ".log"), "wb")
        self.process = subprocess.Popen([PROGRAM] + arguments, stdout=self.log, stderr=self.log, cwd=ROOT)

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Fleet:
    """Schedulers, guards with their runners, and the store, each machine with a loopback address of its own."""

    def __init__(self, folder, logs):
        self.record, self.logs = Record(folder), logs
        self.runs = Runs(self.record)
        self.store = Store()
        self.schedulers, self.guards, self.runners, self.programs, self.proxies = [], [], [], [], []

    def config(self, version, routes):
        self.store.put("op/config", json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}))

    @staticmethod
    def route(name="r-1", prefix="/jobs/", priority=0, attempts=2):
        return {"name": name, "host": HOST, "prefix": prefix, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
                "priority": priority, "service": SERVICE, "maxAttempts": attempts, "stretch": 1.6}

    async def start_store(self):
        await self.store.listen("127.0.0.1", free_port("127.0.0.1"))
        self.platform = f"127.0.0.1:{self.store.port}"

    def run_scheduler(self, spec):
        scheduler = Program(spec["name"], [
            "--role=scheduler", f"--name={spec['name']}", f"--zone={spec['zone']}", "--region=region-a", f"--listen={spec['listen']}",
            f"--callers={spec['callers']}", f"--readiness={spec['readiness']}", f"--platform={self.platform}",
            "--resubmit-after-ms=1300", "--log-format=json"], self.logs)
        scheduler.callers, scheduler.readiness, scheduler.spec = spec["callers"], spec["readiness"], spec
        self.programs.append(scheduler)
        return scheduler

    def run_guard(self, spec):
        guard = Program(spec["name"], [
            "--role=guard", f"--name={spec['name']}", "--zone=zone-a", "--region=region-a", f"--listen={spec['listen']}",
            f"--announcements={spec['control']}", f"--platform={self.platform}", "--log-format=json"]
            + ([f"--advertise={spec['advertise']}"] if "advertise" in spec else []), self.logs)
        guard.spec = spec
        self.programs.append(guard)
        return guard

    def add_scheduler(self, index):
        ip = f"127.0.1.{index}"
        spec = {"name": f"front-{index}", "zone": ("zone-a", "zone-b")[(index - 1) % 2]}
        for what in ("listen", "callers", "readiness"):
            spec[what] = f"{ip}:{free_port(ip)}"
        self.schedulers.append(self.run_scheduler(spec))
        return self.schedulers[-1]

    async def add_guard(self, index, through_proxy=False, **runner):
        ip = f"127.0.2.{index}"
        spec = {"name": f"side-{index}", "listen": f"{ip}:{free_port(ip)}", "control": f"{ip}:{free_port(ip)}"}
        if through_proxy:
            self.proxies.append(Proxy(spec["listen"], self.record))
            await self.proxies[-1].start(ip)
            spec["advertise"] = self.proxies[-1].endpoint
        self.guards.append(self.run_guard(spec))
        self.runners.append(Runner(f"i-{index}", self.runs, self.record, spec["control"], **runner))
        await self.runners[-1].start(ip)
        return self.guards[-1], self.runners[-1]

    async def ready(self, scheduler, limit=10):
        end = now() + limit
        while now() < end:
            try:
                answer = await call(scheduler.readiness, "GET", "/sycamoremoor/ready", patience=1)
                if answer and answer[0] == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    async def start(self, schedulers, guards, routes=None, **runner):
        await self.start_store()
        self.config(7, routes or [self.route()])
        for index in range(1, guards + 1):
            await self.add_guard(index, **runner)
        for index in range(1, schedulers + 1):
            self.add_scheduler(index)
        for scheduler in self.schedulers:
            if not await self.ready(scheduler):
                return False
        await asyncio.sleep(1.5)  # all guards are followed
        return True

    def end(self):
        for program in self.programs:
            program.end()


def main(folder, case):
    """Runs case(fleet), which returns a list of what broke the rule, or None if the case could not run."""
    import tempfile
    with tempfile.TemporaryDirectory() as logs:
        logs = os.environ.get("KEEP_LOGS", logs)

        async def whole():
            fleet = Fleet(folder, logs)
            try:
                return fleet, await asyncio.wait_for(case(fleet), 110)
            finally:
                fleet.end()

        if not os.path.exists(PROGRAM):
            print("target/bin/sycamoremoord is not built")
            return NOT_RUN
        try:
            fleet, broken = asyncio.run(whole())
        except Exception as error:  # whatever it is, it is no verdict on the rule
            print("the case could not run:", repr(error))
            return NOT_RUN
        if broken is None:
            print("the case could not run")
            return NOT_RUN
        for line in broken:
            fleet.record.add("check", line)
            print(line)
        verdict = "the rule was broken" if broken else "the rule held"
        fleet.record.add("check", verdict)
        print(verdict)
        return BROKEN if broken else HELD

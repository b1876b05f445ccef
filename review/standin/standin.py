"""Stand-ins for the platform's store, runners and clients, and a small deployment of the project's own programs.

They follow PROTOCOL.md. Everything listens on loopback addresses, on ports that were free when the deployment was made.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "sycamoremoord")

HOLD_MAX_MS = 1000  # bounds.holdMaxMs
STOP_MS = 20  # a stop takes at most bounds.stopTimeoutMs, 50 ms
RESEND_MS = 1300  # bounds.resendMs
HEARTBEAT_S = 1.5


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((host, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


class Record:
    """Writes record.txt: one line for each event, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message with a Content-Length or chunked body. Returns (first line, headers, body) or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
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
    return line.decode("latin-1").strip(), headers, body


class HttpServer:
    """Calls handler(method, path, query, headers, body), which returns (status, JSON value), or None to leave the call unanswered."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512)

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                line, headers, body = message
                method, target, _ = line.split(" ")
                parts = urlsplit(target)
                answer = await self.handler(method, unquote(parts.path), parse_qs(parts.query, keep_blank_values=True), headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(endpoint, method, path, value=None, headers=None, limit=None):
    """Makes one call on a connection of its own. Returns (status, body), or (0, reason) without a whole answer."""
    host, port = endpoint
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host, port)
            body = b"" if value is None else json.dumps(value).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
            lines += [f"{name}: {text}" for name, text in ({"Host": f"{host}:{port}"} | (headers or {})).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "closed"
            return int(message[0].split(" ")[1]), message[2].decode()
    except TimeoutError:
        return 0, "no answer"
    except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
        return 0, type(error).__name__
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's store: items, ranges, watches, transactions. The operator writes through put()."""

    def __init__(self, host, port):
        self.items = {}
        self.events = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.server = HttpServer(host, port, self.handle)
        self.endpoint = (host, port)
        self.fault = None  # called with (method, path); returns an answer that replaces the right one, or None
        self.calls = []

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["createRev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "createRev": created, "lease": 0}
        self.events.append(dict(self.items[key]))
        self.wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.wake()

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, method, path, query, headers, body):
        self.calls.append((method, path))
        if self.fault and (answer := self.fault(method, path)) is not None:
            return answer
        if path == "/sycamoremoor/kv-range":
            prefix, after = query["prefix"][0], query.get("after", [""])[0]
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]], "morePages": len(keys) > 500, "currentRev": self.revision}
        if path == "/sycamoremoor/kv-key":
            item = self.items.get(query["key"][0])
            return (200, item | {"currentRev": self.revision}) if item else (404, {"currentRev": self.revision})
        if path == "/sycamoremoor/kv-watch":
            prefix, after, wait = query["prefix"][0], int(query["after"][0]), int(query["waitMs"][0])
            end = time.monotonic() + wait / 1000
            while True:
                events = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/sycamoremoor/kv-txn":
            request = json.loads(body)
            for row in request.get("expect", []):
                key, revision = (row["key"], row["revision"]) if isinstance(row, dict) else row
                if self.items.get(key, {"revision": 0})["revision"] != revision:
                    return 412, {"items": []}
            for put in request.get("puts", []):
                if put["key"].startswith(("op/", "servers/")):
                    return 403, {}
                self.put(put["key"], base64.b64decode(put["value"]))
            for key in request.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}


class Runner:
    """A runner beside a guard. The spec of a task says how long it works: `ms=NUMBER`."""

    def __init__(self, record, name, host, port, control, service, cpu=16000, mem=32768, labels=("a", "r1-1"), zone="chapeco"):
        self.record, self.name, self.control, self.service = record, name, control, service
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.labels, self.zone = list(labels), zone
        self.endpoint = (host, port)
        self.server = HttpServer(host, port, self.handle)
        self.history = []  # every run: dict with task, run, start, end, how, cpu
        self.tasks = set()
        self.answer_delay = None  # called with the path; returns seconds by which an answer is late, or None if it is lost
        self.late = None  # called with the path; returns seconds by which the order is late, or None
        self.sizes = {}  # cpu of a task by (job, step)
        self.specs = {}  # spec of a job that a client sent
        self.breaks = []
        self.state = "ready"
        self.boot(name)

    def boot(self, name, clock=None):
        self.id = name
        self.alive = True
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic() - (clock if clock is not None else random.uniform(1, 500))
        self.fence = 0
        self.running = {}
        self.ended = []
        self.numbers = 0
        self.tombs = {}
        self.lease = 0
        self.sequence = 0
        self.change = asyncio.Event()
        self.state = "ready"

    def clock(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    async def start(self):
        await self.server.start()
        self.spawn(self.beat())
        self.spawn(self.expire())

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def crash(self):
        self.alive = False
        for task in list(self.tasks):
            task.cancel()
        await self.server.stop()
        for run in list(self.running.values()):
            self.finish(run, "crashed")
        self.record.write("runner", self.id, "crashed")

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        await self.server.stop()

    async def announce(self):
        self.sequence += 1
        status, _ = await call(self.control, "PUT", f"/sycamoremoor/instances/{self.id}", {
            "service": self.service, "address": "%s:%d" % self.endpoint, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
            "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}, limit=1)
        return status

    async def beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def expire(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() > self.lease:
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")

    def finish(self, run, how):
        if self.running.get(run["task"]) is not run:
            return
        del self.running[run["task"]]
        run["end"], run["how"] = self.record.now(), how
        self.record.write("runner", self.id, "run ends", run["task"], run["run"], how)
        self.tombs[run["task"]] = max(self.tombs.get(run["task"], 0), run["run"])
        self.numbers += 1
        self.ended.append([self.numbers, run["task"], run["run"], how, ""])
        change, self.change = self.change, asyncio.Event()
        change.set()

    async def work(self, run, seconds):
        await asyncio.sleep(seconds)
        self.finish(run, "done")

    async def stopping(self, run):
        await asyncio.sleep(STOP_MS / 1000)
        self.finish(run, "stopped")

    def extend(self, until):
        if until is not None:
            self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        if not self.alive:
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock(), "born": self.born}
        request = json.loads(body)
        if self.late and (late := self.late(path)) is not None:
            self.record.write("runner", self.id, "leaves unanswered and carries out later", path, f"{late:.3f} s", request.get("task", ""))
            self.spawn(self.carry_out_late(late, path, request))
            return None
        answer = await self.carry_out(path, request)
        if self.answer_delay:
            delay = self.answer_delay(path)
            if delay is None:
                return None
            await asyncio.sleep(delay)
        return answer

    async def carry_out_late(self, late, path, request):
        await asyncio.sleep(late)
        answer = await self.carry_out(path, request | {"waitMs": 0})
        self.record.write("runner", self.id, "has carried out late", path, request.get("task", ""), answer[0])

    async def carry_out(self, path, request):
        said = {"clockMs": self.clock(), "born": self.born}
        if request.get("fence", 0) < self.fence:
            return 409, said | {"reason": "fence"}
        self.fence = max(self.fence, request.get("fence", 0))
        if path == "/sycamoremoor/run-start":
            return self.run_start(request, said)
        if path == "/sycamoremoor/run-stop":
            task, number = request["task"], request["run"]
            self.tombs[task] = max(self.tombs.get(task, 0), number)
            run = self.running.get(task)
            if run and run["run"] <= number:
                self.spawn(self.stopping(run))
            return 200, said
        if path == "/sycamoremoor/hold":
            self.extend(request.get("untilMs"))
            self.ended = [row for row in self.ended if row[0] > request.get("ackedUpto", 0)]
            end = time.monotonic() + min(request.get("waitMs", 0), 2000) / 1000
            while not self.ended and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.change.wait(), left)
                except TimeoutError:
                    pass
            rows = [[run["task"], run["run"], "", 50, 0] for run in self.running.values()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": rows, "ended": self.ended[:500]}
        return 404, said

    def run_start(self, request, said):
        task, number = request["task"], request["run"]
        current = self.running.get(task)
        if current and current["run"] == number:
            self.extend(request["untilMs"])
            return 200, said
        if number <= self.tombs.get(task, 0) or current:
            self.extend(request["untilMs"])
            return 409, said | {"reason": "old"}
        if request["untilMs"] <= self.clock():
            return 409, said | {"reason": "late"}
        self.extend(request["untilMs"])
        job, _, step, _ = task.split(".")
        run = {"task": task, "run": number, "start": self.record.now(), "end": None, "how": "", "runner": self.id,
               "cpu": self.sizes.get((job, int(step)), 0)}
        self.running[task] = run
        self.history.append(run)
        self.record.write("runner", self.id, "run begins", task, number)
        if job not in self.specs:
            self.breaks.append(f"UNASKED: {task} was started, though no client sent its job")
        elif self.specs[job] != request["spec"]:
            self.breaks.append(f"UNASKED: {task} was started with another spec")
        used = sum(other["cpu"] for other in self.running.values())
        if used > self.capacity["cpu"]:
            self.breaks.append(f"LIMIT: {used} of {self.capacity['cpu']} cpu on {self.id} at {self.record.now():.3f}")
        words = dict(word.split("=", 1) for word in request["spec"].split() if "=" in word)
        self.spawn(self.work(run, float(words.get("ms", 100)) / 1000))
        return 200, said


class Deployment:
    """Schedulers and guards as separate processes, with the commands of deploy/system.toml."""

    def __init__(self, folder, schedulers=2, guards=3, cpu=16000):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.logs = tempfile.mkdtemp(prefix="sycamoremoor-review-")
        self.processes = {}
        self.commands = {}
        self.store = Store("127.0.0.1", free_ports("127.0.0.1", 1)[0])
        self.host, self.prefix, self.service, self.version = "desk.example", "/desk/", "svc-a", 1
        self.routes = {"r-1": (self.host, self.prefix, self.service)}
        self.schedulers, self.runners = {}, {}
        self.sizes, self.specs = {}, {}
        for index in range(schedulers):
            address = f"127.0.0.{10 + index}"
            listen, front, ready = free_ports(address, 3)
            name = f"front-{index + 1}"
            self.schedulers[name] = {"front": (address, front), "ready": (address, ready), "listen": (address, listen)}
            self.commands[name] = [
                PROGRAM, "--role=scheduler", f"--name={name}", "--zone=chapeco", "--region=sul", f"--listen={address}:{listen}",
                f"--callers={address}:{front}", f"--readiness={address}:{ready}", "--platform=%s:%d" % self.store.endpoint,
                f"--resubmit-after-ms={RESEND_MS}", "--log-format=json"]
        for index in range(guards):
            address = f"127.0.0.{30 + index}"
            listen, control, app = free_ports(address, 3)
            name = f"side-{index + 1}"
            self.commands[name] = [
                PROGRAM, "--role=guard", f"--name={name}", "--zone=chapeco", "--region=sul", f"--listen={address}:{listen}",
                f"--announcements={address}:{control}", "--platform=%s:%d" % self.store.endpoint, "--log-format=json"]
            runner = Runner(self.record, f"i-{index + 1:08x}", address, app, (address, control), self.service, cpu=cpu)
            runner.sizes, runner.specs = self.sizes, self.specs
            self.runners[name] = runner

    def configure(self):
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": [{"name": name, "host": host, "prefix": prefix, "kind": "unsafe", "timeoutMs": 30000, "targetLatencyMs": 60,
                        "priority": 1, "service": service, "maxAttempts": 3, "stretch": 1.6}
                       for name, (host, prefix, service) in self.routes.items()],
            "services": [{"name": name, "admissionCheck": False} for name in sorted({self.service} | {s for _, _, s in self.routes.values()})],
            "limits": {}}).encode())

    async def launch(self, name):
        log = open(os.path.join(self.logs, name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = await asyncio.create_subprocess_exec(*self.commands[name], stdout=log, stderr=log, env=environment)
        log.close()

    async def start(self):
        await self.store.server.start()
        self.configure()
        for name in self.commands:
            await self.launch(name)
        for runner in self.runners.values():
            await runner.start()

    async def ready(self, limit=15):
        """Waits until every scheduler is ready and has had time to hear of all guards."""
        end = time.monotonic() + limit
        for scheduler in self.schedulers.values():
            while (await call(scheduler["ready"], "GET", "/sycamoremoor/ready", limit=1))[0] != 200:
                if time.monotonic() > end:
                    raise RuntimeError("a scheduler did not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(4)

    def signal(self, name, number):
        if self.processes[name].returncode is None:
            self.record.write("signal", signal.Signals(number).name, "to", name)
            self.processes[name].send_signal(number)

    async def submit(self, scheduler, job, steps, spec, patience_ms, best_effort=True, prefix=None, method="POST"):
        """Submits a job as a client that waits for patience_ms. Returns (status, body)."""
        self.specs[job] = spec
        for index, step in enumerate(steps):
            self.sizes[(job, index)] = step.get("cpu", 0)
        body = {"spec": spec, "steps": steps} | ({"bestEffort": True} if best_effort else {})
        self.record.write("client sends", job, "to", scheduler)
        answer = await call(self.schedulers[scheduler]["front"], method, (prefix or self.prefix) + job, body,
                            {"Host": self.host, "X-Deadline-Ms": str(patience_ms)}, limit=patience_ms / 1000)
        self.record.write("client gets", job, "from", scheduler, answer[0], answer[1].strip())
        return answer

    async def request(self, scheduler, method, path, host=None):
        self.record.write("client sends", method, path, "to", scheduler)
        answer = await call(self.schedulers[scheduler]["front"], method, path, None, {"Host": host or self.host, "X-Deadline-Ms": "2000"}, limit=2)
        self.record.write("client gets", method, path, "from", scheduler, answer[0], answer[1].strip())
        return answer

    async def stop(self):
        for name, process in self.processes.items():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for runner in self.runners.values():
            await runner.stop()
        await self.store.server.stop()

    def runs(self):
        return sorted((run for runner in self.runners.values() for run in runner.history), key=lambda run: run["start"])

    def overlaps(self, slack=0.0):
        """Returns pairs of runs of one task that ran at the same time."""
        found, by_task = [], {}
        for run in self.runs():
            for other in by_task.setdefault(run["task"], []):
                end = other["end"] if other["end"] is not None else self.record.now()
                if end > run["start"] + slack:
                    found.append((other, run))
            by_task[run["task"]].append(run)
        return found


def new_id():
    """Returns an id of a job. It ends with a letter, so that names of its tasks do not read like addresses."""
    return f"{random.getrandbits(60):015x}" + random.choice("abcdef")


def run_case(case):
    """Runs the coroutine function `case`, which returns the broken rules as texts, and exits as review cases do."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        deployment = Deployment(folder, **getattr(case, "settings", {}))
        try:
            async with asyncio.timeout(110):
                if hasattr(case, "prepare"):
                    await case.prepare(deployment)
                await deployment.start()
                await deployment.ready()
                broken = await case(deployment, trouble)
            for line in broken:
                deployment.record.write("BROKEN", line)
                print(line)
            deployment.record.write("result", "broken" if broken else "held")
            return 1 if broken else 0
        finally:
            await deployment.stop()

    if not os.access(PROGRAM, os.X_OK):
        print("the programs are not built:", PROGRAM)
        sys.exit(2)
    try:
        code = asyncio.run(whole())
    except Exception as error:  # the case could not run
        print("the case could not run:", type(error).__name__, error)
        code = 2
    sys.exit(code)

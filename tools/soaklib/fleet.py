"""Real schedulers and guards with stand-ins of all that they speak to, each machine with a loopback address of its own."""
import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess

from . import schedule as plans
from .crowd import Crowd
from .http11 import call, free_port, now, split_endpoint
from .observation import MAX_STOP_S, Evacuation, Job, Life, Observation, Span, Submission
from .proxy import Proxy
from .standins import Store, Upstream

HOST = "desk.example"
ROUTE = {"host": HOST, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60, "maxAttempts": 2, "stretch": 1.6}
SERVICE = {"healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "admissionCheck": False, "spare": False}
CALLER_TIMEOUT_S = 1.5   # of a caller of the two deployments
RESUBMIT_S = 1.3         # bounds.resendMs: after no answer, a broken connection, 502 or 504
NO_ANSWER = (None, 502, 504)
MAX_SUBMISSIONS = 4      # of one job
SAMPLE_S = 0.05
LEAST_WAIT_S = 0.001     # shorter waits are kept until they add up to this
LATE_S = 0.02            # a sample that is later than this shows that the tool was not scheduled
SIZE_EVERY = 10          # samples between two looks at descriptors and memory
PROBE_S = 0.5            # between two looks at which configuration a scheduler serves
READY_S = 30             # for a start on a busy machine
RESTART_S = 0.3          # after a process ended by itself
MAX_OPEN_JOBS = 150
UPSTREAM_SETTINGS = {"late-orders": ("late_share", "share", 0.0), "slow-upstream": ("slowness", "factor", 1.0)}


class Process:
    """One process of the project, which may live several times."""

    def __init__(self, fleet, name, arguments, fronts):
        self.fleet, self.name, self.arguments, self.fronts = fleet, name, arguments, fronts
        self.child, self.life, self.pauses, self.waited = None, None, 0, 0.0
        self.log = open(os.path.join(fleet.folder, name + ".log"), "ab")

    async def spawn(self):
        self.child = subprocess.Popen([self.fleet.program] + self.arguments, stdout=self.log, stderr=self.log)
        self.life, self.waited = Life(self.name, now()), 0.0
        self.fleet.seen.lives.append(self.life)
        for proxy in self.fronts:
            await proxy.set_target_up(True)

    async def look(self):
        """Notes its end. Returns whether it is still running."""
        if self.life.end is None and self.child.poll() is not None:
            self.life.end, self.life.status = now(), self.child.returncode
            self.fleet.note(f"{self.name} has ended with status {self.child.returncode}")
            for proxy in self.fronts:
                await proxy.set_target_up(False)
        return self.life.end is None

    def pause(self, count):
        """Begins (1) or ends (-1) a pause; pauses may overlap."""
        self.pauses += count
        self.child.send_signal(signal.SIGSTOP if self.pauses else signal.SIGCONT)

    async def kill(self):
        self.life.killed = now()
        self.child.kill()
        while await self.look():
            await asyncio.sleep(0.005)

    async def stop(self):
        """Asks it to end, and kills it if it does not within the bound."""
        self.life.stop_asked = now()
        self.child.send_signal(signal.SIGTERM)
        while await self.look():
            if now() > self.life.stop_asked + MAX_STOP_S + self.fleet.seen.waited(("soak", self.name), self.life.stop_asked, now()):
                await self.kill()
            await asyncio.sleep(0.02)

    def sample(self, last, with_size):
        """Notes for how long it was ready to run but not scheduled, and its size."""
        folder, seen = f"/proc/{self.child.pid}", self.fleet.seen
        with open(f"{folder}/schedstat", encoding="ascii") as file:
            waited = int(file.read().split()[1]) / 1e9
        if waited - self.waited > LEAST_WAIT_S:
            seen.waits.append((self.name, last, now(), waited - self.waited))
            self.waited = waited
        if with_size:
            with open(f"{folder}/statm", encoding="ascii") as file:
                resident = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
            seen.sizes.append((self.name, now(), len(os.listdir(f"{folder}/fd")), resident))


class Fleet:
    def __init__(self, program, folder, plan):
        self.program, self.folder, self.plan = program, folder, plan
        self.seen, self.store, self.events = Observation(), Store(), []
        self.traffic, self.noise = random.Random(f"jobs {plan['seed']}"), random.Random(f"upstreams {plan['seed']}")
        self.processes, self.upstreams, self.proxies, self.readiness, self.tasks, self.open_jobs = {}, {}, {}, {}, [], []
        self.addresses = {}  # name of a process -> where it listens itself, behind no proxy
        self.schedulers, self.guards = plans.names(plan["fleet"])
        self.versions, self.jobs_made, self.fault_numbers, self.is_over, self.begin = [], 0, 0, False, 0.0
        usage = subprocess.run([program, "--help"], capture_output=True, text=True, check=False).stdout
        self.evacuate = ["--evacuate-within-ms=5000"] if "--evacuate-within-ms" in usage else []

    def note(self, text):
        self.events.append((now(), text))

    # --- start and end

    async def start(self):
        """Returns whether all schedulers became ready."""
        await self.store.listen("127.0.0.1")
        self.configure()
        for index, (name, machine) in enumerate(zip(self.guards, self.plan["fleet"]["guards"]), 1):
            await self._start_guard(name, f"127.0.2.{index}", machine)
        for index, name in enumerate(self.schedulers, 1):
            address = f"127.0.1.{index}"
            listen, callers, self.readiness[name] = (f"{address}:{free_port(address)}" for _ in range(3))
            front = await self._proxy(f"callers:{name}", callers, address)
            self.addresses[name] = (listen, callers, self.readiness[name])
            await self._start_process(name, address, plans.ZONES[(index - 1) % 2], [front], [
                "--role=scheduler", f"--listen={listen}", f"--callers={callers}", f"--readiness={self.readiness[name]}",
                "--resubmit-after-ms=1300"])
        self.tasks = [asyncio.create_task(part()) for part in (self._sample, self._probe_configs)]
        end, waiting = now() + READY_S, list(self.schedulers)
        while waiting and now() < end:
            answers = await asyncio.gather(*[call(self.readiness[name], "GET", "/sycamoremoor/ready", timeout=1) for name in waiting])
            waiting = [name for name, answer in zip(waiting, answers) if answer is None or answer[0] != 200]
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)  # until schedulers follow all guards
        self.begin = now()
        return not waiting

    async def _proxy(self, name, target, address, source=None):
        self.proxies[name] = Proxy(target, source)
        await self.proxies[name].start(address)
        return self.proxies[name]

    async def _start_process(self, name, address, zone, fronts, arguments):
        store = await self._proxy(f"store:{name}", self.store.endpoint, address, source=address)
        arguments += [f"--name={name}", f"--zone={zone}", "--region=region-a", f"--platform={store.endpoint}", "--log-format=json"]
        self.processes[name] = Process(self, name, arguments + self.evacuate, fronts)
        await self.processes[name].spawn()

    async def _start_guard(self, name, address, machine):
        listen, control, upstream_endpoint = (f"{address}:{free_port(address)}" for _ in range(3))
        work, back = await self._proxy(f"work:{name}", listen, address), await self._proxy(f"control:{name}", control, address)
        self.addresses[name] = (listen, control)
        await self._start_process(name, address, machine["zone"], [work, back], [
            "--role=guard", f"--listen={listen}", f"--advertise={work.endpoint}", f"--announcements={control}"])
        upstream = self.upstreams[name] = Upstream(name.replace("side", "i"), name, self.seen, self.noise, **machine)
        upstream.control, upstream.place = back.endpoint, split_endpoint(upstream_endpoint)
        upstream.address = (await self._proxy(f"orders:{name}", upstream_endpoint, address)).endpoint
        await upstream.boot_up(*upstream.place)

    async def play_whole(self):
        """Plays the schedule from the start of all processes to their planned stop. Returns whether the fleet became ready."""
        try:
            if not await self.start():
                return False
            await self.play()
            self.is_over = True
            await asyncio.gather(*[process.stop() for process in self.processes.values() if await process.look()])
            self.seen.ended = now()
            for upstream in self.upstreams.values():
                upstream.settle()
            return True
        finally:  # leaves no process behind, whatever happened
            self.is_over = True
            for upstream in self.upstreams.values():
                upstream.is_over = True
            for task in self.tasks:
                task.cancel()
            for process in self.processes.values():
                process.child.kill()
                process.child.wait()
                process.log.close()

    # --- configuration, and what is seen of it and of the processes

    def configure(self):
        """Puts the next version of the configuration, which alone has a queue of its own path."""
        version = 7 + len(self.versions)
        self.versions.append(version)
        queues = {**plans.QUEUES, f"gen-{version}": (f"/gen-{version}/", 3, "reclaim")}
        self.store.put("op/config", json.dumps({
            "version": version,
            "routes": [{**ROUTE, "name": name, "prefix": prefix, "priority": priority, "service": service}
                       for name, (prefix, priority, service) in queues.items()],
            "services": [{**SERVICE, "name": service} for service in plans.SERVICES],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}))

    async def _probe_configs(self):
        """Sees by their paths which version each scheduler serves: 404 for all others."""
        async def probe(name):
            for version in list(self.versions):
                asked, front = now(), self.proxies[f"callers:{name}"].endpoint
                answer = await call(front, "GET", f"/gen-{version}/", headers=[("Host", HOST)], timeout=1)
                if answer and answer[0] == 200:
                    self.seen.configs.append((name, now(), asked, version))

        while not self.is_over:
            await asyncio.gather(*[probe(name) for name in self.schedulers])
            await asyncio.sleep(PROBE_S)

    async def _sample(self):
        """Notes ends of processes, their sizes, and for how long they and this tool were not scheduled; restarts what ended by itself."""
        count, last = 0, now()
        while True:
            await asyncio.sleep(SAMPLE_S)
            if now() - last > SAMPLE_S + LATE_S:
                self.seen.waits.append(("soak", last, now(), now() - last - SAMPLE_S))
            for process in self.processes.values():
                if await process.look():
                    with contextlib.suppress(OSError, IndexError):  # it has just ended, which the next look notes
                        process.sample(last, count % SIZE_EVERY == 0)
                elif process.life.stop_asked is None and process.life.killed is None and not self.is_over \
                        and now() > process.life.end + RESTART_S:
                    await process.spawn()
            last, count = now(), count + 1

    # --- callers

    def _open(self, *args, **kwargs):
        self.open_jobs.append(asyncio.create_task(self._run_job(*args, **kwargs)))

    async def _run_job(self, queue, steps, work_ms, job_id=None, limit_s=CALLER_TIMEOUT_S, leaves_s=None, to=None):
        """Sends a job as a caller does, and again after no answer."""
        (prefix, _, service), spec = plans.QUEUES[queue], f"{work_ms} task"
        self.jobs_made += 1
        job = Job(job_id or f"{self.plan['seed'] % (1 << 32) << 32 | self.jobs_made:016x}", service, spec, steps)
        self.seen.jobs[job.id] = job
        body = {"bestEffort": True, "spec": spec, "steps": steps}
        headers = [("Host", HOST), ("X-Deadline-Ms", str(int(limit_s * 1000)))]
        for attempt in range(MAX_SUBMISSIONS):
            scheduler = to[min(attempt, len(to) - 1)] if to else self.traffic.choice(self.schedulers)
            submission = Submission(scheduler, now())
            job.submissions.append(submission)
            timeout = leaves_s if leaves_s and attempt == 0 else limit_s
            answer = await call(self.proxies[f"callers:{scheduler}"].endpoint, "POST", prefix + job.id, body, headers, timeout)
            submission.answered = now()
            if answer:
                submission.status, submission.body = answer[0], answer[1].decode(errors="replace")
            if submission.status not in NO_ANSWER or self.is_over:
                return
            await asyncio.sleep(RESUBMIT_S)

    async def _random_load(self):
        while self.plan["jobsPerSecond"] and now() < self.begin + self.plan["seconds"]:
            await asyncio.sleep(self.traffic.expovariate(self.plan["jobsPerSecond"]))
            queue, steps, work_ms = plans.random_job(self.traffic)
            leaves_s = self.traffic.uniform(0.05, 0.5) if self.traffic.random() < plans.LEAVING_SHARE else None
            self.open_jobs = [job for job in self.open_jobs if not job.done()]
            if len(self.open_jobs) < MAX_OPEN_JOBS:
                limit_s = CALLER_TIMEOUT_S if work_ms < CALLER_TIMEOUT_S * 1000 / len(steps) else 4 * CALLER_TIMEOUT_S
                self._open(queue, steps, work_ms, limit_s=limit_s, leaves_s=leaves_s)

    async def _planned_job(self, row):
        await asyncio.sleep(max(0, self.begin + row["at"] - now()))
        if "cancel" in row:
            job = self.seen.jobs.get(row["cancel"])
            path = plans.QUEUES[row["queue"]][0] + row["cancel"]
            answer = await call(self.proxies[f"callers:{row['to']}"].endpoint, "DELETE", path, None, [("Host", HOST)], CALLER_TIMEOUT_S)
            self.note(f"cancel of {row['cancel']} at {row['to']}: {answer and answer[0]}")
            if job and answer and (answer[0] < 300 or answer[0] == 410):
                job.cancelled = now()
            return
        for index in range(row.get("repeat", 1)):
            job_id = row.get("id") and (row["id"] if index == 0 else f"{row['id']}-{index}")
            self._open(row["queue"], row["steps"], row["workMs"], job_id, row.get("limitS", CALLER_TIMEOUT_S), row.get("leavesS"),
                       row.get("to"))
            await asyncio.sleep(row.get("everyS", 0))

    # --- faults: each method begins one, yields while it lasts, and ends it

    async def play(self):
        """Plays load and faults to their end."""
        jobs = [asyncio.create_task(self._planned_job(row)) for row in self.plan["jobs"]] + [asyncio.create_task(self._random_load())]
        faults = [asyncio.create_task(self._fault(fault, self.begin + fault["at"])) for fault in self.plan["faults"]]
        await asyncio.sleep(max(0, self.begin + self.plan["seconds"] - now()))
        await asyncio.gather(*jobs, *faults)
        await asyncio.gather(*self.open_jobs)

    async def _fault(self, fault, at):
        await asyncio.sleep(max(0, at - now()))
        self.fault_numbers += 1
        number, target, kind = self.fault_numbers, fault.get("target", ""), fault["kind"]
        if target.startswith("most-runs:"):
            guards = [run.boot.guard for run in self.seen.runs if run.job == target.split(":")[1]]
            target = max(guards, key=guards.count) if guards else self.guards[0]
        self.note(f"begins: {json.dumps(fault)} at {target}")
        own = [target.removeprefix("store:")] if kind == "pause" or target.startswith("store:") else []  # may not hear from the store
        spans = [Span(name, now()) for name in (fault.get("machines", self.schedulers + self.guards) if kind == "store" else own)]
        self.seen.unreached += spans
        method = self._upstream_setting if kind in UPSTREAM_SETTINGS else getattr(self, "_" + kind.replace("-", "_"))
        async with contextlib.asynccontextmanager(method)(fault, number, target):
            await asyncio.sleep(fault.get("for", 0))
        for span in spans:
            span.end = now()
        self.note(f"ended: {kind} {target} {fault.get('how', '')}")

    async def _pause(self, _fault, _number, target):
        self.processes[target].pause(1)
        yield
        self.processes[target].pause(-1)

    async def _kill(self, fault, _number, target):
        process = self.processes[target]
        can_end = await process.look() and process.life.stop_asked is None and process.life.killed is None
        if can_end:
            await (process.stop() if fault["kind"] == "stop" else process.kill())
        yield
        if can_end:
            await process.spawn()

    _stop = _kill

    async def _power_loss(self, fault, number, _target):
        async with contextlib.AsyncExitStack() as machines:
            for method, name in [(self._kill, name) for name in self.processes] + [(self._crash, name) for name in self.guards]:
                await machines.enter_async_context(contextlib.asynccontextmanager(method)(fault, number, name))
            yield

    async def _zone_cut(self, _fault, number, _target):
        """Schedulers and guards of different zones do not hear of each other; all reach their store, callers and upstreams."""
        zones = {name: plans.ZONES[index % 2] for index, name in enumerate(self.schedulers)}
        cuts = [(self.proxies[f"work:{guard}"], name) for guard in self.guards for name in self.schedulers
                if self.upstreams[guard].zone != zones[name]]
        for proxy, name in cuts:
            await proxy.begin((number, name), "silent", name)
        yield
        for proxy, name in cuts:
            await proxy.end((number, name))

    async def _path(self, fault, number, target):
        await self.proxies[target].begin(number, fault["how"], fault.get("match", ""), fault.get("delayMs", 0) / 1000)
        yield
        await self.proxies[target].end(number, reset=fault.get("resetAfter", False))

    async def _crowd(self, fault, _number, target):
        """Clients outside the limits at all addresses of a process. They stay while it stops, is killed and starts again."""
        crowd = Crowd(self.addresses[target], fault["connections"], fault["form"])
        yield
        crowd.close()

    async def _store(self, fault, number, _target):
        how, store, everyone = fault["how"], self.store, self.schedulers + self.guards
        paths = [self.proxies[f"store:{name}"] for name in everyone] if how == "down" else []
        await asyncio.gather(*[path.begin(number, "refuse") for path in paths])
        if how == "forgets":
            store.forget()
        store.slow_s = fault["delayMs"] / 1000 if how == "slow" else store.slow_s
        store.loses = store.loses or how == "loses-answers"
        rejected = {self.proxies[f"store:{name}"].source for name in fault.get("machines", [])}
        store.rejected |= rejected
        yield
        await asyncio.gather(*[path.end(number) for path in paths])
        store.slow_s = 0.0 if how == "slow" else store.slow_s
        store.loses = store.loses and how != "loses-answers"
        store.rejected -= rejected

    async def _crash(self, _fault, _number, target):
        upstream, path = self.upstreams[target], self.proxies[f"orders:{target}"]
        was_up = upstream.is_up
        if was_up:
            upstream.crash()
            await path.set_target_up(False)
        yield
        if was_up:
            await upstream.boot_up(*upstream.place)
            await path.set_target_up(True)

    async def _drain(self, fault, number, target):
        upstream, boot = self.upstreams[target], self.upstreams[target].boot
        if upstream.is_up and upstream.state != "draining":
            upstream.state, upstream.remaining_until = "draining", now() + fault["remainingMs"] / 1000
            await upstream.announce()
            await asyncio.sleep(max(0, upstream.remaining_until - now()))
            if upstream.boot is boot:
                async for _ in self._crash(fault, number, target):
                    yield
                return
        yield

    async def _upstream_setting(self, fault, _number, target):
        name, field, usual = UPSTREAM_SETTINGS[fault["kind"]]
        setattr(self.upstreams[target], name, fault[field])
        yield
        setattr(self.upstreams[target], name, usual)

    async def _silent_upstream(self, fault, _number, target):
        upstream, boot = self.upstreams[target], self.upstreams[target].boot
        if fault.get("when") == "hold":  # from the next renewal on
            upstream.silent_from_hold.clear()
            await upstream.silent_from_hold.wait()
        upstream.silent = True
        then = [asyncio.create_task(self._fault(part, now() + part["after"])) for part in fault.get("then", [])]
        yield
        await asyncio.gather(*then)
        if upstream.boot is boot and upstream.is_up:
            upstream.silent = False
            upstream.reset_connections()

    async def _odd_heartbeat(self, fault, _number, target):
        await self.upstreams[target].announce(fault["changes"])
        yield

    async def _configure(self, _fault, _number, _target):
        self.configure()
        yield

    async def _evacuate(self, fault, _number, _target):
        if not self.evacuate:
            self.note("this program has no --evacuate-within-ms: not played")
            yield
            return
        self.store.put(f"op/evacuate/{fault['zone']}", "{}")
        self.seen.evacuations.append(Evacuation(fault["zone"], now()))
        yield
        for evacuation in self.seen.evacuations:  # there may be two at a time, with one key
            if evacuation.zone == fault["zone"]:
                evacuation.removed = min(now(), evacuation.removed)
        self.store.put(f"op/evacuate/{fault['zone']}", "", deleted=True)

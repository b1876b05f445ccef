"""Real schedulers and guards with stand-ins of all that they speak to, each machine with a loopback address of its own."""
import asyncio
import json
import os
import random
import signal
import subprocess

from . import schedule as plans
from .http11 import call, free_port, now
from .observation import MAX_STOP_S, Evacuation, Job, Life, Observation, Span, Submission
from .proxy import Proxy
from .standins import Store, Upstream

HOST = "desk.example"
CALLER_TIMEOUT_S = 1.5   # of a caller of the two deployments
RESUBMIT_S = 1.3         # bounds.resendMs: after no answer, a broken connection, 502 or 504
NO_ANSWER = (None, 502, 504)
MAX_SUBMISSIONS = 4      # of one job
SAMPLE_S = 0.05
LATE_S = 0.02            # a sample that is later than this shows that the tool was not scheduled
SIZE_EVERY = 10          # samples between two looks at descriptors and memory
PROBE_S = 0.5            # between two looks at which configuration a scheduler serves
READY_S = 30             # for a start on a busy machine
RESTART_S = 0.3          # after a process ended by itself
MAX_OPEN_JOBS = 150


class Process:
    """One process of the project, which may live several times."""

    def __init__(self, fleet, name, arguments, fronts):
        self.fleet, self.name, self.arguments, self.fronts = fleet, name, arguments, fronts
        self.child, self.life, self.pauses = None, None, 0
        self.log = open(os.path.join(fleet.folder, name + ".log"), "ab")

    async def spawn(self):
        self.child = subprocess.Popen([self.fleet.program] + self.arguments, stdout=self.log, stderr=self.log)
        self.life = Life(self.name, now())
        self.fleet.seen.lives.append(self.life)
        for proxy in self.fronts:
            await proxy.set_target_up(True)

    @property
    def is_up(self):
        return self.life is not None and self.life.end is None

    async def look(self):
        """Notes its end. Returns whether it is still running."""
        if self.is_up and self.child.poll() is not None:
            self.life.end, self.life.status = now(), self.child.returncode
            self.fleet.note(f"{self.name} has ended with status {self.child.returncode}")
            for proxy in self.fronts:
                await proxy.set_target_up(False)
        return self.is_up

    def pause(self):
        self.pauses += 1
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.pauses -= 1
        if self.pauses == 0:
            self.child.send_signal(signal.SIGCONT)

    def kill(self):
        self.life.killed = now()
        self.child.kill()

    async def stop(self):
        """Asks it to end, and kills it if it does not within the bound."""
        self.life.stop_asked = now()
        self.child.send_signal(signal.SIGTERM)
        while await self.look():
            if now() > self.life.stop_asked + MAX_STOP_S + self.fleet.seen.waited(("soak", self.name), self.life.stop_asked, now()):
                self.kill()
            await asyncio.sleep(0.02)


class Fleet:
    def __init__(self, program, folder, plan):
        self.program, self.folder, self.plan = program, folder, plan
        self.seen, self.store, self.events = Observation(), Store(), []
        self.traffic, self.noise = random.Random(f"jobs {plan['seed']}"), random.Random(f"upstreams {plan['seed']}")
        self.processes, self.upstreams, self.proxies, self.tasks, self.open_jobs = {}, {}, {}, [], set()
        self.schedulers, self.guards = plans.names(plan["fleet"])
        self.versions, self.jobs_made, self.fault_numbers, self.is_over = [], 0, 0, False
        self.begin = 0.0
        usage = subprocess.run([program, "--help"], capture_output=True, text=True, check=False).stdout
        self.evacuate = ["--evacuate-within-ms=5000"] if "--evacuate-within-ms" in usage else []

    def note(self, text):
        self.events.append((now(), text))

    # --- start and end

    async def _proxy(self, name, target, address, source=None):
        proxy = Proxy(name, target, source)
        await proxy.start(address)
        self.proxies[name] = proxy
        return proxy

    async def start(self):
        """Returns whether all schedulers became ready."""
        await self.store.listen("127.0.0.1")
        self.configure()
        for index, (name, machine) in enumerate(zip(self.guards, self.plan["fleet"]["guards"]), 1):
            await self._start_guard(name, f"127.0.2.{index}", machine)
        for index, name in enumerate(self.schedulers, 1):
            await self._start_scheduler(name, f"127.0.1.{index}", ("zone-a", "zone-b")[(index - 1) % 2])
        self.tasks = [asyncio.create_task(part()) for part in (self._sample, self._probe_configs)]
        end = now() + READY_S
        waiting = list(self.schedulers)
        while waiting and now() < end:
            answers = await asyncio.gather(*[call(self.readiness[name], "GET", "/sycamoremoor/ready", timeout=1) for name in waiting])
            waiting = [name for name, answer in zip(waiting, answers) if answer is None or answer[0] != 200]
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)  # until schedulers follow all guards
        self.begin = now()
        return not waiting

    async def _common(self, name, address, zone):
        store = await self._proxy(f"store:{name}", self.store.endpoint, address, source=address)
        return [f"--name={name}", f"--zone={zone}", "--region=region-a", f"--platform={store.endpoint}", "--log-format=json"] + self.evacuate

    async def _start_scheduler(self, name, address, zone):
        listen, callers, ready = (f"{address}:{free_port(address)}" for _ in range(3))
        front = await self._proxy(f"callers:{name}", callers, address)
        arguments = ["--role=scheduler", f"--listen={listen}", f"--callers={callers}", f"--readiness={ready}", "--resubmit-after-ms=1300"]
        self.readiness = {**getattr(self, "readiness", {}), name: ready}
        self.processes[name] = Process(self, name, arguments + await self._common(name, address, zone), [front])
        await self.processes[name].spawn()

    async def _start_guard(self, name, address, machine):
        listen, control = (f"{address}:{free_port(address)}" for _ in range(2))
        work = await self._proxy(f"work:{name}", listen, address)
        back = await self._proxy(f"control:{name}", control, address)
        arguments = ["--role=guard", f"--listen={listen}", f"--advertise={work.endpoint}", f"--announcements={control}"]
        self.processes[name] = Process(self, name, arguments + await self._common(name, address, machine["zone"]), [work, back])
        await self.processes[name].spawn()
        upstream = Upstream(name.replace("side", "i"), name, self.seen, self.noise, **machine)
        upstream.control, self.upstreams[name] = back.endpoint, upstream
        upstream.place = (address, free_port(address))
        orders = await self._proxy(f"orders:{name}", f"{upstream.place[0]}:{upstream.place[1]}", address)
        upstream.address = orders.endpoint
        await upstream.boot_up(*upstream.place)

    async def end(self):
        """Stops all processes as planned, then ends what is left."""
        self.is_over = True
        await asyncio.gather(*[process.stop() for process in self.processes.values() if await process.look()])
        self.seen.ended = now()
        for upstream in self.upstreams.values():
            if upstream.is_up:
                upstream.settle()
                upstream.beat.cancel()

    def abandon(self):
        """Leaves no process behind, whatever happened."""
        for process in self.processes.values():
            if process.child and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
            if process.child:
                process.child.wait()
            process.log.close()

    # --- configuration and its observation

    def configure(self):
        """Puts the next version of the configuration, which alone has a queue of its own path."""
        version = 7 + len(self.versions)
        self.versions.append(version)
        queues = {**plans.QUEUES, f"gen-{version}": (f"/gen-{version}/", 3, "reclaim")}
        routes = [{"name": name, "host": HOST, "prefix": prefix, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
                   "priority": priority, "service": service, "maxAttempts": 2, "stretch": 1.6}
                  for name, (prefix, priority, service) in queues.items()]
        services = [{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "admissionCheck": False,
                     "spare": False} for service in plans.SERVICES]
        self.store.put("op/config", json.dumps({
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}))

    async def _probe_configs(self):
        """Sees by their paths which version each scheduler serves: 404 for all others."""
        async def probe(name):
            for version in list(self.versions):
                asked = now()
                answer = await call(self.proxies[f"callers:{name}"].endpoint, "GET", f"/gen-{version}/", headers=[("Host", HOST)], timeout=1)
                if answer and answer[0] == 200:
                    self.seen.configs.append((name, now(), asked, version))

        while True:
            await asyncio.gather(*[probe(name) for name in self.schedulers])
            await asyncio.sleep(PROBE_S)

    # --- processes

    async def _sample(self):
        """Notes ends of processes, their sizes, and for how long they and this tool were not scheduled; restarts what ended by itself."""
        waits, count, last = {}, 0, now()
        while True:
            await asyncio.sleep(SAMPLE_S)
            if now() - last > SAMPLE_S + LATE_S:
                self.seen.waits.append(("soak", last, now(), now() - last - SAMPLE_S))
            for name, process in self.processes.items():
                if not await process.look():
                    life = process.life
                    if life.stop_asked is None and life.killed is None and not self.is_over and now() > life.end + RESTART_S:
                        await process.spawn()
                    continue
                folder = f"/proc/{process.child.pid}"
                try:
                    with open(f"{folder}/schedstat", encoding="ascii") as file:
                        waited = int(file.read().split()[1]) / 1e9
                    seconds = waited - waits.get(process.child.pid, 0.0)
                    waits[process.child.pid] = waited
                    if seconds > 0.001:
                        self.seen.waits.append((name, last, now(), seconds))
                    if count % SIZE_EVERY == 0:
                        with open(f"{folder}/statm", encoding="ascii") as file:
                            resident = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
                        self.seen.sizes.append((name, now(), len(os.listdir(f"{folder}/fd")), resident))
                except (OSError, IndexError):
                    pass  # it has just ended, which the next look notes
            last, count = now(), count + 1

    # --- callers

    async def run_job(self, queue, steps, spec, job_id=None, limit_s=CALLER_TIMEOUT_S, leaves_s=None, to=None):
        """Sends a job as a caller does, and again after no answer."""
        prefix, _, service = plans.QUEUES[queue]
        job = Job(job_id or f"{self.noise_id():016x}", service, spec, steps)
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

    def noise_id(self):
        self.jobs_made += 1
        return (self.plan["seed"] << 32 | self.jobs_made) & (1 << 64) - 1

    def _open(self, job):
        task = asyncio.create_task(job)
        self.open_jobs.add(task)
        task.add_done_callback(self.open_jobs.discard)

    async def _random_load(self):
        while self.plan["jobsPerSecond"] and now() < self.begin + self.plan["seconds"]:
            await asyncio.sleep(self.traffic.expovariate(self.plan["jobsPerSecond"]))
            queue, steps, work_ms = plans.random_job(self.traffic)
            if len(self.open_jobs) < MAX_OPEN_JOBS:
                self._open(self.run_job(queue, steps, f"{work_ms} task", limit_s=CALLER_TIMEOUT_S if work_ms < 400 else 4.0))

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
            self._open(self.run_job(row["queue"], row["steps"], f"{row['workMs']} task", job_id, row.get("limitS", CALLER_TIMEOUT_S),
                                    row.get("leavesS"), row.get("to")))
            await asyncio.sleep(row.get("everyS", 0))

    # --- faults

    async def play(self):
        """Plays load and faults to their end."""
        jobs = [asyncio.create_task(self._planned_job(row)) for row in self.plan["jobs"]] + [asyncio.create_task(self._random_load())]
        faults = [asyncio.create_task(self._fault(fault, self.begin + fault["at"])) for fault in self.plan["faults"]]
        await asyncio.sleep(max(0, self.begin + self.plan["seconds"] - now()))
        await asyncio.gather(*jobs, *faults)
        if self.open_jobs:
            await asyncio.wait(set(self.open_jobs))

    def _resolve(self, target):
        if not target.startswith("most-runs:"):
            return target
        guards = [run.boot.guard for run in self.seen.runs if run.job == target.split(":")[1]]
        return max(guards, key=guards.count) if guards else self.guards[0]

    async def _fault(self, fault, at):
        await asyncio.sleep(max(0, at - now()))
        self.fault_numbers += 1
        number, target = self.fault_numbers, self._resolve(fault.get("target", ""))
        self.note("begins: " + json.dumps(fault) + (f" at {target}" if target != fault.get("target", "") else ""))
        await getattr(self, "_" + fault["kind"].replace("-", "_"))(fault, number, target)
        self.note(f"ended: {fault['kind']} {target} {fault.get('how', '')}")

    def _unreached(self, names):
        spans = [Span(name, now()) for name in names]
        self.seen.unreached += spans
        return spans

    @staticmethod
    def _reached(spans):
        for span in spans:
            span.end = now()

    async def _pause(self, fault, _number, target):
        process = self.processes[target]
        if not process.is_up:
            return
        spans = self._unreached([target])
        process.pause()
        await asyncio.sleep(fault["for"])
        process.resume()
        self._reached(spans)

    async def _kill(self, fault, _number, target):
        process = self.processes[target]
        if not await process.look() or process.life.stop_asked is not None or process.life.killed is not None:
            return
        process.kill()
        while await process.look():
            await asyncio.sleep(0.005)
        await asyncio.sleep(fault["for"])
        await process.spawn()

    async def _stop(self, fault, _number, target):
        process = self.processes[target]
        if not await process.look() or process.life.stop_asked is not None or process.life.killed is not None:
            return
        await process.stop()
        await asyncio.sleep(fault["for"])
        await process.spawn()

    async def _path(self, fault, number, target):
        kind, _, machine = target.partition(":")
        spans = self._unreached([machine] if kind == "store" else [])
        await self.proxies[target].begin(number, fault["how"], fault.get("match", ""), fault.get("delayMs", 0) / 1000)
        await asyncio.sleep(fault.get("for", 0))
        await self.proxies[target].end(number, reset=fault.get("resetAfter", False))
        self._reached(spans)

    async def _store(self, fault, number, _target):
        how, everyone = fault["how"], self.schedulers + self.guards
        if how == "forgets":
            self.store.forget()
            return
        hit = fault.get("machines", everyone)
        spans, addresses = self._unreached(hit), {self.proxies[f"store:{name}"].source for name in hit}
        if how == "down":
            for name in everyone:
                await self.proxies[f"store:{name}"].begin(number, "refuse")
        elif how == "slow":
            self.store.slow_s = fault["delayMs"] / 1000
        elif how == "loses-answers":
            self.store.loses = True
        else:
            self.store.rejected |= addresses
        await asyncio.sleep(fault["for"])
        if how == "down":
            for name in everyone:
                await self.proxies[f"store:{name}"].end(number)
        elif how == "slow":
            self.store.slow_s = 0.0
        elif how == "loses-answers":
            self.store.loses = False
        else:
            self.store.rejected -= addresses
        self._reached(spans)

    async def _restart_upstream(self, target, seconds):
        upstream = self.upstreams[target]
        upstream.crash()
        await self.proxies[f"orders:{target}"].set_target_up(False)
        await asyncio.sleep(seconds)
        await upstream.boot_up(*upstream.place)
        await self.proxies[f"orders:{target}"].set_target_up(True)

    async def _crash(self, fault, _number, target):
        if self.upstreams[target].is_up:
            await self._restart_upstream(target, fault["for"])

    async def _drain(self, fault, _number, target):
        upstream, boot = self.upstreams[target], self.upstreams[target].boot
        if not upstream.is_up or upstream.state == "draining":
            return
        upstream.state, upstream.remaining_until = "draining", now() + fault["remainingMs"] / 1000
        await upstream.announce()
        await asyncio.sleep(max(0, upstream.remaining_until - now()))
        if upstream.is_up and upstream.boot is boot:
            await self._restart_upstream(target, fault["for"])

    async def _late_orders(self, fault, _number, target):
        self.upstreams[target].late_share = fault["share"]
        await asyncio.sleep(fault["for"])
        self.upstreams[target].late_share = 0.0

    async def _slow_upstream(self, fault, _number, target):
        self.upstreams[target].slowness = fault["factor"]
        await asyncio.sleep(fault["for"])
        self.upstreams[target].slowness = 1.0

    async def _silent_upstream(self, fault, _number, target):
        upstream, boot = self.upstreams[target], self.upstreams[target].boot
        if fault.get("when") == "hold":  # from the next renewal on
            reached = asyncio.Event()

            def fall_silent():
                upstream.silent = True
                reached.set()
            upstream.on_next_hold = fall_silent
            await reached.wait()
        upstream.silent = True
        begin = now()
        then = [asyncio.create_task(self._fault(part, begin + part["after"])) for part in fault.get("then", [])]
        await asyncio.sleep(fault["for"])
        await asyncio.gather(*then)
        if upstream.boot is boot and upstream.is_up:
            upstream.silent = False
            for writer in list(upstream.connections):
                writer.transport.abort()

    async def _odd_heartbeat(self, fault, _number, target):
        await self.upstreams[target].announce(fault["changes"])

    async def _configure(self, _fault, _number, _target):
        self.configure()

    async def _evacuate(self, fault, _number, _target):
        if not self.evacuate:
            self.note("this program has no --evacuate-within-ms: not played")
            return
        key = f"op/evacuate/{fault['zone']}"
        self.store.put(key, "{}")
        evacuation = Evacuation(fault["zone"], now())
        self.seen.evacuations.append(evacuation)
        await asyncio.sleep(fault["for"])
        evacuation.removed = now()
        self.store.put(key, "", deleted=True)

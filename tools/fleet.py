"""Starts the project's own processes on loopback, by deployment, and stops them by their ids."""

import collections
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
RECORDS = ROOT / "tools" / "records" / "deployments.json"
READY_TIMEOUT_S = 40
STOP_TIMEOUT_S = 45

Deployment = collections.namedtuple("Deployment", "service team region zones cores memory_mb")

DEPLOYMENTS = {
    "kozahlas": Deployment("reclaim-desk", "intake", "sk-west", ["trnava-a", "nitra-b", "senec-c", "pezinok-d"], 30, 130000),
    "rebanho-sul": Deployment("censo-gado", "ranchers", "sul", ["chapeco", "passo-fundo", "santa-maria"], 16, 32000),
}

ENTRIES = 3
RUNNERS = 11
RUNNER_SLOTS = 8


class FleetError(Exception):
    """A process did not start, or a promise was broken."""


def free_ports(count):
    """Returns ports that nobody listens at; all are held until the last one is found."""
    sockets = [socket.socket() for _ in range(count)]
    for held in sockets:
        held.bind((HOST, 0))
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports


def http(port, path, body=None, timeout=2):
    """Returns status and body; status 0 if nobody answered."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{HOST}:{port}{path}", data=data, headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, ValueError):
        return 0, ""


class Process:
    """One process that this program started."""

    def __init__(self, name, role, port, command, log_dir):
        self.name = name
        self.role = role
        self.port = port
        self.command = command
        self.log_path = log_dir / f"{name}.log"
        self.popen = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def wait(self, timeout):
        """Returns the exit code, or None if it still runs after @p timeout seconds."""
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None


class Fleet:
    """A platform stand-in, entries, and runners with their agents. Use it as a context."""

    def __init__(self, bin_dir, placements, entry_zones, daemon_flags=()):
        """placements: one (Deployment, zone) for each runner; entry_zones: one (region, zone) for each entry."""
        self.bin_dir = pathlib.Path(bin_dir)
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="sycamoremoor-"))
        self.placements = placements
        self.entry_zones = entry_zones
        self.daemon_flags = list(daemon_flags)
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, fault, *_):
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
            process.wait(5)
        if fault is None:
            shutil.rmtree(self.dir, ignore_errors=True)

    def of_role(self, role):
        return [process for process in self.processes.values() if process.role == role]

    def entry_addresses(self):
        return ",".join(f"{HOST}:{entry.port}" for entry in self.of_role("entry"))

    def platform_address(self):
        return f"{HOST}:{self.processes['platform'].port}"

    def start(self):
        """Starts everything and waits until each entry is ready and every agent is known."""
        ports = free_ports(1 + len(self.entry_zones) + 2 * len(self.placements))
        self._start_platform(ports.pop())
        self.ctl("config", "apply", "--author=operator", str(RECORDS), check=True)
        self._start_entries([ports.pop() for _ in self.entry_zones])
        for number, (deployment, zone) in enumerate(self.placements, 1):
            self._start_runner(number, ports.pop(), deployment)
            self._start_agent(number, ports.pop(), deployment, zone)
        self._wait("entries and agents are ready", self._is_ready)

    def _start_platform(self, port):
        self._run("platform", "platform", port, "sycamoremoor-platform-standin", f"--listen={HOST}:{port}")
        self._wait("the platform stand-in answers", lambda: http(port, "/control/calls")[0] == 200)

    def _start_entries(self, ports):
        seeds = ",".join(f"{HOST}:{port}" for port in ports)
        for number, (port, (region, zone)) in enumerate(zip(ports, self.entry_zones), 1):
            self._run(f"entry-{number}", "entry", port, "sycamoremoord", "--role=entry", f"--name=entry-{number}",
                      f"--listen={HOST}:{port}", f"--region={region}", f"--zone={zone}",
                      f"--platform={self.platform_address()}", f"--entries={seeds}", *self.daemon_flags)

    def _start_runner(self, number, port, deployment):
        name = f"runner-{number}"
        self._run(name, "runner", port, "sycamoremoor-runner-standin", f"--name={name}", f"--listen={HOST}:{port}",
                  f"--slots={RUNNER_SLOTS}", f"--cores={deployment.cores}", f"--memory-mb={deployment.memory_mb}",
                  "--leave-grace-ms=300", f"--start-log={self.dir / name}.starts")

    def _start_agent(self, number, port, deployment, zone):
        runner = self.processes[f"runner-{number}"]
        self._run(f"agent-{number}", "agent", port, "sycamoremoord", "--role=agent", f"--name=agent-{number}",
                  f"--listen={HOST}:{port}", f"--region={deployment.region}", f"--zone={zone}",
                  f"--service={deployment.service}", f"--upstream={HOST}:{runner.port}", f"--slots={RUNNER_SLOTS}",
                  f"--cores={deployment.cores}", f"--memory-mb={deployment.memory_mb}",
                  f"--entries={self.entry_addresses()}", *self.daemon_flags)

    def _run(self, name, role, port, program, *flags):
        self.processes[name] = Process(name, role, port, [str(self.bin_dir / program), *flags], self.dir)

    def _wait(self, what, is_so):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not is_so():
            for process in self.processes.values():
                if process.popen.poll() is not None:
                    raise FleetError(f"{process.name} ended: {process.log_path.read_text()[-2000:]}")
            if time.monotonic() > deadline:
                raise FleetError(f"not within {READY_TIMEOUT_S} s: {what}; logs are in {self.dir}")
            time.sleep(0.1)

    def _is_ready(self):
        statuses = self.entry_statuses()
        if len(statuses) < len(self.entry_zones):
            return False
        rosters = [status.get("roster") or {} for status in statuses]
        if any(len(roster.get("members", [])) != len(self.entry_zones) for roster in rosters):
            return False
        agents = {worker["agent"] for status in statuses for worker in status["workers"] if worker["reachable"]}
        return all(status["ready"] for status in statuses) and len(agents) == len(self.placements)

    def entry_statuses(self):
        """Returns what each entry that answers says of itself."""
        replies = [http(entry.port, "/v1/status") for entry in self.of_role("entry")]
        return [json.loads(body) for status, body in replies if status == 200]

    def ctl(self, *words, check=False, text=None):
        """Runs sycamorectl against this fleet."""
        environment = dict(os.environ, SYCAMOREMOOR_PLATFORM=self.platform_address(), SYCAMOREMOOR_ENTRIES=self.entry_addresses())
        result = subprocess.run([str(self.bin_dir / "sycamorectl"), *words], env=environment, input=text, text=True,
                                stdout=subprocess.PIPE, stderr=subprocess.PIPE, timeout=400, check=False)
        if check and result.returncode != 0:
            raise FleetError(f"sycamorectl {' '.join(words)}: exit {result.returncode}: {result.stderr}")
        return result

    def stop(self):
        """Ends everything by SIGTERM, agents first, so that they can still report; raises if a process does not end well by itself."""
        for role in ("agent", "entry", "runner", "platform"):
            processes = self.of_role(role)
            for process in processes:
                process.signal(signal.SIGTERM)
            for process in processes:
                if (code := process.wait(STOP_TIMEOUT_S)) != 0:
                    raise FleetError(f"{process.name} ended with {code}: {process.log_path.read_text()[-2000:]}")

    def starts(self):
        """Returns every start that any runner saw, from the files that outlive the runners."""
        starts = []
        for path in sorted(self.dir.glob("*.starts")):
            starts += [json.loads(line) for line in path.read_text().splitlines()]
        return starts


def mixed_fleet(bin_dir):
    """Three entries, and eleven runners shared between both deployments."""
    placements = []
    for number in range(RUNNERS):
        deployment = list(DEPLOYMENTS.values())[number % 2]
        placements.append((deployment, deployment.zones[number // 2 % len(deployment.zones)]))
    zones = [("sk-west", "trnava-a"), ("sk-west", "nitra-b"), ("sul", "chapeco")]
    return Fleet(bin_dir, placements, zones)


def deployment_fleet(bin_dir, name, daemon_flags=()):
    """Three entries and eleven runners of one deployment."""
    deployment = DEPLOYMENTS[name]
    zones = [deployment.zones[number % len(deployment.zones)] for number in range(RUNNERS)]
    return Fleet(bin_dir, [(deployment, zone) for zone in zones],
                 [(deployment.region, deployment.zones[number % len(deployment.zones)]) for number in range(ENTRIES)], daemon_flags)


def broken_start_promises(starts):
    """Returns a sentence for each task that started more than once."""
    counts = collections.Counter(start["id"] for start in starts)
    return [f"task {task} started {count} times" for task, count in sorted(counts.items()) if count > 1]

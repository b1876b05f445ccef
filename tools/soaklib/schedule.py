"""Schedules: a fleet, its load and its faults as plain data, drawn from a seed or read from a file."""
import json
import random

SERVICES = ("reclaim", "census")
QUEUES = {"quick": ("/quick/", 0, "reclaim"), "long": ("/long/", 2, "reclaim"), "other": ("/other/", 0, "census")}  # prefix, priority, service
WARM_UP_S = 2.0       # no fault before: the fleet serves
RECOVERY_S = 8.0      # none begins later than this before the end: what was disturbed is seen to go on
MEAN_FAULT_GAP_S = 1.5
MAX_PAUSE_S = 3.5     # longest freeze of the disruptions that were played on the deployments
MAX_CUT_S = 4.0
ZONES = ("zone-a", "zone-b")
FLEET = {"schedulers": 3, "guards": [
    {"zone": "zone-a", "service": "reclaim", "labels": ["a", "b"], "cpu": 6000},
    {"zone": "zone-b", "service": "reclaim", "labels": ["a"], "cpu": 6000},
    {"zone": "zone-a", "service": "reclaim", "labels": ["a"], "cpu": 9000},
    {"zone": "zone-b", "service": "reclaim", "labels": ["a", "b"], "cpu": 6000},
    {"zone": "zone-a", "service": "census", "labels": ["a"], "cpu": 6000}]}
JOBS_PER_S = 10  # close to the capacity of the fleet above

# kind -> weight in a random schedule
KINDS = {"pause": 3, "kill": 2, "stop": 1, "path": 6, "store": 3, "crash": 2, "late-orders": 2, "drain": 2, "slow-upstream": 1,
         "silent-upstream": 2, "configure": 2, "evacuate": 2}
# On paths of callers only faults that both ends hear of: one that reaches one end alone is no disruption of docs/HARD-LOAD.md there.
PATHS = {"callers": ("delay", "reset", "refuse"), "work": ("delay", "reset", "refuse", "up", "down", "silent", "hang-new"),
         "orders": ("delay", "reset", "refuse", "up", "down", "silent"), "control": ("delay", "reset", "refuse", "silent"),
         "store": ("delay", "reset", "refuse", "up", "down", "silent")}
STORE_FAULTS = ("down", "slow", "loses-answers", "forgets", "rejects")


def names(fleet):
    return ([f"front-{i + 1}" for i in range(fleet["schedulers"])], [f"side-{i + 1}" for i in range(len(fleet["guards"]))])


def _fault(rng, kind, at, schedulers, guards):
    fault = {"at": round(at, 3), "kind": kind}
    if kind in ("pause", "kill", "stop"):
        fault["target"] = rng.choice(schedulers + guards)
        fault["for"] = round(rng.uniform(0.3, MAX_PAUSE_S if kind == "pause" else 2.0), 3)
    elif kind == "path":
        path = rng.choice(sorted(PATHS))
        ends = {"callers": schedulers, "store": schedulers + guards}.get(path, guards)
        fault.update(target=f"{path}:{rng.choice(ends)}", how=rng.choice(PATHS[path]))
        fault["for"] = round(rng.uniform(0.2, MAX_CUT_S), 3)
        if fault["how"] == "delay":
            fault["delayMs"] = rng.randint(10, 100)
        if path == "work" and rng.random() < 0.5 and fault["how"] != "refuse":
            fault["match"] = rng.choice(schedulers)
        if fault["how"] not in ("reset", "delay", "refuse"):
            fault["resetAfter"] = rng.random() < 0.5
    elif kind == "store":
        fault["how"] = rng.choice(STORE_FAULTS)
        fault["for"] = round(rng.uniform(0.5, 6), 3)
        if fault["how"] == "rejects":
            everyone = schedulers + guards
            fault["machines"] = sorted(rng.sample(everyone, rng.randint(1, len(everyone) // 2)))
        if fault["how"] == "slow":
            fault["delayMs"] = rng.choice((240, 900))
    elif kind == "evacuate":
        fault["zone"] = rng.choice(ZONES)
        fault["for"] = round(rng.uniform(6, 12), 3)
    elif kind != "configure":
        fault["target"] = rng.choice(guards)
        fault["for"] = round(rng.uniform(0.5, MAX_CUT_S), 3)
        if kind == "late-orders":
            fault["share"] = rng.choice((0.1, 0.5))
        if kind == "drain":
            fault["remainingMs"] = rng.choice((1500, 2000, 6000))
        if kind == "slow-upstream":
            fault["factor"] = rng.choice((2, 5))
    return fault


def draw(seed, seconds, kinds=None):
    """Returns the schedule of a seed. The same seed, length and kinds give the same schedule."""
    rng = random.Random(f"soak {seed}")
    kinds = {kind: weight for kind, weight in KINDS.items() if kinds is None or kind in kinds}
    schedulers, guards = names(FLEET)
    faults, at = [], WARM_UP_S + rng.expovariate(1 / MEAN_FAULT_GAP_S)
    while at < seconds - RECOVERY_S:
        faults.append(_fault(rng, rng.choices(list(kinds), list(kinds.values()))[0], at, schedulers, guards))
        at += rng.expovariate(1 / MEAN_FAULT_GAP_S)
    return {"seed": seed, "seconds": seconds, "jobsPerSecond": JOBS_PER_S, "fleet": FLEET, "jobs": [], "faults": faults}


def load(path):
    with open(path, encoding="utf-8") as file:
        schedule = json.load(file)
    return {"seed": 0, "jobsPerSecond": 0, "fleet": FLEET, "jobs": [], "faults": [], **schedule}


def text(schedule):
    """One line for each fault, so that a schedule can be read and kept."""
    head = {key: value for key, value in schedule.items() if key not in ("faults", "jobs")}
    lines = [f' "{key}": {json.dumps(value)},' for key, value in head.items()]
    for key in ("jobs", "faults"):
        rows = ",\n".join("  " + json.dumps(row) for row in schedule[key])
        lines.append(f' "{key}": [' + (f"\n{rows}\n ]" if rows else "]") + ("," if key == "jobs" else ""))
    return "{\n" + "\n".join(lines) + "\n}"


def random_job(rng):
    """Returns (queue, steps, milliseconds of work of each task) of a job of the random load."""
    queue = rng.choices(("quick", "long", "other"), (6, 2, 2))[0]
    work_ms = rng.choice((30, 60, 120) if queue != "long" else (400, 900))
    step = {"count": rng.choice((1, 1, 2, 4)), "cpu": rng.choice((500, 1400, 1700)), "memMb": 64, "estimateMs": work_ms}
    if queue == "quick" and rng.random() < 0.2:
        step["requires"] = "b"
    steps = [step]
    if rng.random() < 0.2:
        steps.append({**step, "count": 1, "after": [0]})
    return queue, steps, work_ms


def shrink(schedule, fails, say):
    """Drops faults as long as fails(schedule) still holds: halves first, then smaller parts, then single ones."""
    faults, size = schedule["faults"], max(1, len(schedule["faults"]) // 2)
    while faults:
        begin, dropped = 0, False
        while begin < len(faults):
            fewer = faults[:begin] + faults[begin + size:]
            if fails({**schedule, "faults": fewer}):
                faults, dropped = fewer, True
                say(f"still fails with {len(faults)} faults")
            else:
                begin += size
        if size == 1 and not dropped:
            break
        size = max(1, size // 2)
    return {**schedule, "faults": faults}

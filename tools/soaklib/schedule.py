"""Schedules: a fleet, its load and its faults as plain data, drawn from a seed or read from a file."""
import json
import random

from .crowd import FORMS

SERVICES = ("reclaim", "census")
# queue -> (prefix, priority, service)
QUEUES = {"quick": ("/quick/", 0, "reclaim"), "long": ("/long/", 2, "reclaim"), "other": ("/other/", 0, "census")}
ZONES = ("zone-a", "zone-b")
FLEET = {"schedulers": 3, "guards": [
    {"zone": "zone-a", "service": "reclaim", "labels": ["a", "b"], "cpu": 6000},
    {"zone": "zone-b", "service": "reclaim", "labels": ["a"], "cpu": 6000},
    {"zone": "zone-a", "service": "reclaim", "labels": ["a"], "cpu": 9000},
    {"zone": "zone-b", "service": "reclaim", "labels": ["a", "b"], "cpu": 6000},
    {"zone": "zone-a", "service": "census", "labels": ["a"], "cpu": 6000}]}
JOBS_PER_S = 10       # with the jobs below close to the capacity of this fleet
LEAVING_SHARE = 0.05  # of callers, who give up early and come back
WARM_UP_S = 2.0       # no fault before: the fleet serves
RECOVERY_S = 8.0      # none begins later than this before the end: what was disturbed is seen to go on
MEAN_FAULT_GAP_S = 1.5
MAX_PAUSE_S = 3.5     # longest freeze of the disruptions that were played on the deployments
MAX_CUT_S = 4.0
# On paths of callers only faults that both ends hear of: one that reaches one end alone is no disruption of docs/HARD-LOAD.md there.
SEEN_BY_BOTH = ("delay", "reset", "refuse")
PATHS = {"callers": SEEN_BY_BOTH, "work": SEEN_BY_BOTH + ("up", "down", "silent", "hang-new"),
         "orders": SEEN_BY_BOTH + ("up", "down", "silent", "refuse-new"),
         "control": SEEN_BY_BOTH + ("silent",), "store": SEEN_BY_BOTH + ("up", "down", "silent")}
MEAN_CROWD_GAP_S = 6.0
CROWD_CONNECTIONS = (8, 40, 120)  # at each address of a process; more than a listener for few takes, at the most
STORE_FAULTS = ("down", "slow", "loses-answers", "forgets", "rejects")


def names(fleet):
    return ([f"front-{i + 1}" for i in range(fleet["schedulers"])], [f"side-{i + 1}" for i in range(len(fleet["guards"]))])


def _path_fault(rng, schedulers, guards):
    path = rng.choice(sorted(PATHS))
    ends = {"callers": schedulers, "store": schedulers + guards}.get(path, guards)
    how, one_scheduler, reset_after = rng.choice(PATHS[path]), rng.random() < 0.5, rng.random() < 0.5
    return {"target": f"{path}:{rng.choice(ends)}", "how": how, "delayMs": rng.randint(10, 100), "resetAfter": reset_after,
            "match": rng.choice(schedulers) if path == "work" and one_scheduler and how != "refuse" else ""}


def _store_fault(rng, schedulers, guards):
    machines = sorted(rng.sample(schedulers + guards, rng.randint(1, (len(schedulers) + len(guards)) // 2)))
    how = rng.choice(STORE_FAULTS)
    return {"how": how, **({"machines": machines} if how == "rejects" else {"delayMs": rng.choice((240, 900))} if how == "slow" else {})}


def _any_process(rng, schedulers, guards):
    return {"target": rng.choice(schedulers + guards)}


def _guard_with(**fields):
    return lambda rng, schedulers, guards: {"target": rng.choice(guards), **{name: rng.choice(values) for name, values in fields.items()}}


# kind -> (weight in a random schedule, least and most seconds that it lasts, what else is drawn)
KINDS = {
    "pause": (3, 0.3, MAX_PAUSE_S, _any_process),
    "kill": (2, 0.3, 2.0, _any_process),
    "stop": (1, 0.3, 2.0, _any_process),
    "path": (6, 0.2, MAX_CUT_S, _path_fault),
    "zone-cut": (1, 0.5, MAX_CUT_S, lambda rng, schedulers, guards: {}),
    "power-loss": (0.5, 0.75, 1.6, lambda rng, schedulers, guards: {}),
    "store": (3, 0.5, 6.0, _store_fault),
    "crash": (2, 0.2, 2.0, _guard_with()),
    "late-orders": (2, 0.5, MAX_CUT_S, _guard_with(share=(0.1, 0.5))),
    "drain": (2, 0.2, 2.0, _guard_with(remainingMs=(1500, 2000, 6000))),
    "slow-upstream": (1, 1.0, MAX_CUT_S, _guard_with(factor=(2, 5))),
    "silent-upstream": (2, 0.3, MAX_CUT_S, _guard_with()),
    "configure": (2, 0.0, 0.0, lambda rng, schedulers, guards: {}),
    "evacuate": (2, 6.0, 12.0, lambda rng, schedulers, guards: {"zone": rng.choice(ZONES)})}


def _crowds(seed, seconds):
    """Crowds have random numbers of their own, so that the other faults of a seed stay as they were."""
    rng = random.Random(f"crowds {seed}")
    faults, at = [], WARM_UP_S + rng.expovariate(1 / MEAN_CROWD_GAP_S)
    while at < seconds - RECOVERY_S:
        schedulers, guards = names(FLEET)
        faults.append({"at": round(at, 3), "kind": "crowd", "for": round(rng.uniform(0.5, MAX_CUT_S), 3),
                       "target": rng.choice(schedulers + guards), "form": rng.choice(sorted(FORMS)),
                       "connections": rng.choice(CROWD_CONNECTIONS)})
        at += rng.expovariate(1 / MEAN_CROWD_GAP_S)
    return faults


def draw(seed, seconds, kinds=None):
    """Returns the schedule of a seed. The same seed, length and kinds give the same schedule."""
    rng = random.Random(f"soak {seed}")
    with_crowds = kinds is None or "crowd" in kinds
    kinds = [kind for kind in KINDS if kinds is None or kind in kinds]
    faults, at = [], WARM_UP_S + rng.expovariate(1 / MEAN_FAULT_GAP_S)
    while kinds and at < seconds - RECOVERY_S:
        kind = rng.choices(kinds, [KINDS[kind][0] for kind in kinds])[0]
        _, least_s, most_s, rest = KINDS[kind]
        faults.append({"at": round(at, 3), "kind": kind, "for": round(rng.uniform(least_s, most_s), 3), **rest(rng, *names(FLEET))})
        at += rng.expovariate(1 / MEAN_FAULT_GAP_S)
    if with_crowds:
        faults = sorted(faults + _crowds(seed, seconds), key=lambda fault: fault["at"])
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
    """Returns the queue and steps of a job of the random load, and for how long each of its tasks works."""
    queue = rng.choices(("quick", "long", "other"), (6, 2, 2))[0]
    work_ms = rng.choice((400, 900, 2500) if queue == "long" else (30, 60, 120))
    step = {"count": rng.choice((1, 1, 2, 4)), "cpu": rng.choice((500, 1400, 1700)), "memMb": 64, "estimateMs": work_ms}
    if queue == "quick" and rng.random() < 0.2:
        step["requires"] = "b"
    return queue, [step] + ([{**step, "count": 1, "after": [0]}] if rng.random() < 0.2 else []), work_ms


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

"""Shows that each check fails on an observation broken on purpose and holds on the same one unbroken, and tries the parts of the tool."""
import asyncio
import copy
import json
import random

from . import observation as o
from . import schedule as plans
from .http11 import Server, call, now
from .proxy import Proxy
from .standins import Upstream

JOB = "00000000000000aa"


def sound_observation():
    """A job of two steps that ran as it should, beside a drain, an evacuation, a cancel and a configuration that moved on."""
    seen = o.Observation()
    boot = o.Boot("i-1", "side-1", "zone-a", "reclaim", ("a", "b"), 2000, 1024, 0.0)
    far = o.Boot("i-2", "side-2", "zone-b", "reclaim", ("b",), 2000, 1024, 0.0)
    seen.boots = [boot, far]
    step = {"count": 2, "cpu": 1000, "memMb": 64, "requires": "b"}
    seen.jobs[JOB] = o.Job(JOB, "reclaim", "100 task", [step, {**step, "count": 1, "after": [0]}],
                           [o.Submission("front-1", 1.0, 2.0, None), o.Submission("front-2", 3.3, 5.0, 200)])
    for task, number, where, begin, end, how in (("0.0.0", 1, boot, 1.1, 1.2, "done"), ("0.0.1", 1, boot, 1.1, 1.2, "stopped"),
                                                 ("0.0.1", 2, far, 3.4, 3.5, "done"), ("0.1.0", 1, far, 3.6, 3.7, "done")):
        seen.runs.append(o.Run(f"{JOB}.{task}", number, where, "100 task", begin, end, how))
    boot.drain_acknowledged = 10.0
    seen.evacuations = [o.Evacuation("zone-b", 12.0, 25.0)]
    seen.lives = [o.Life("side-1", 0.0, stop_asked=29.0, end=29.5, status=0), o.Life("side-2", 0.0, killed=8.0, end=8.0, status=-9),
                  o.Life("side-2", 9.0, stop_asked=29.0, end=29.5, status=0)]
    seen.configs = [("front-1", 2.0, 1.9, 7), ("front-1", 4.0, 3.9, 8), ("front-2", 4.5, 4.4, 7)]
    seen.sizes = [("side-1", 5.0, 40, 12.0)]
    seen.ended = 30.0
    return seen


def _late_run(seen, boot, begin, task="0.0.0", waits=(), spans=(), lives=()):
    seen.runs.append(o.Run(f"{JOB}.{task}", 5, seen.boots[boot], "100 task", begin, begin + 0.1, "done"))
    seen.waits += waits
    seen.unreached += spans
    seen.lives += lives


def _other_run(seen, **changes):
    run = copy.copy(seen.runs[2])
    run.number, run.begin, run.end = 6, 4.0, 4.1
    for name, value in changes.items():
        setattr(run, name, value)
    seen.runs.append(run)


def _boot(service="reclaim", labels=("b",)):
    return o.Boot("i-3", "side-3", "zone-c", service, labels, 2000, 1024, 0.0)


# Which check must fail alone (none: all must hold), what is broken, and how.
BROKEN = (
    ("overlap", "a second run begins before the first has ended", lambda s: _other_run(s, begin=3.45, boot=_boot())),
    ("overlap", "a run never ends, and another begins", lambda s: (setattr(s.runs[3], "end", None), _late_run(s, 0, 5, "0.1.0"))),
    ("", "a second run begins when the first has just ended", lambda s: _other_run(s, begin=3.5, end=3.55, boot=_boot())),
    ("capacity", "two runs on an upstream that has room for one", lambda s: setattr(s.boots[0], "cpu", 1999)),
    ("capacity", "two runs need more memory than there is", lambda s: setattr(s.boots[0], "memory", 100)),
    ("place", "an upstream of another service", lambda s: _other_run(s, boot=_boot(service="census"))),
    ("place", "an upstream without the label", lambda s: _other_run(s, boot=_boot(labels=("a",)))),
    ("order", "a task of the first step ends late", lambda s: setattr(s.runs[2], "end", 3.61)),
    ("order", "a task of the first step failed", lambda s: setattr(s.runs[2], "how", "failed")),
    ("asked", "a job that nobody sent", lambda s: _other_run(s, task="00000000000000bb.0.0.0")),
    ("asked", "a task that the job does not have", lambda s: _other_run(s, task=f"{JOB}.0.0.7")),
    ("asked", "another payload", lambda s: _other_run(s, spec="9 task")),
    ("asked", "a start before the job was sent", lambda s: setattr(s.jobs[JOB].submissions[0], "sent", 1.15)),
    ("refused", "all answers were refusals", lambda s: [setattr(x, "status", c) for x, c in zip(s.jobs[JOB].submissions, (429, 503))]),
    ("", "one submission had no answer, the other was refused", lambda s: setattr(s.jobs[JOB].submissions[1], "status", 503)),
    ("drain", "a start 3.5 s after draining was acknowledged", lambda s: _late_run(s, 0, 13.5)),
    ("", "a start 2.9 s after it", lambda s: _late_run(s, 0, 12.9)),
    ("", "a start 3.5 s after it, as the machine did not schedule the guard for 0.6 s", lambda s: _late_run(
        s, 0, 13.5, waits=[("side-1", 10.5, 11.5, 0.6)])),
    ("evacuation", "a start 5.1 s after the store had the key", lambda s: _late_run(s, 1, 17.1)),
    ("", "a start 4.9 s after it", lambda s: _late_run(s, 1, 16.9)),
    ("", "a start after the key was removed", lambda s: _late_run(s, 1, 25.1)),
    ("", "the guard did not reach the store for long enough", lambda s: _late_run(s, 1, 17.1, spans=[o.Span("side-2", 16.9, 17.05)])),
    ("evacuation", "the guard reached the store before, then no more", lambda s: _late_run(s, 1, 24.0, spans=[o.Span("side-2", 17.5)])),
    ("", "the guard restarted without the store", lambda s: _late_run(s, 1, 24.0, spans=[o.Span("side-2", 17.5)], lives=[
        o.Life("side-2", 18.0, stop_asked=29.0, end=29.5, status=0)])),
    ("", "the machine did not schedule the guard", lambda s: _late_run(s, 1, 17.1, waits=[("side-2", 13.0, 14.0, 0.2)])),
    ("cancel", "a start 4.1 s after the cancel", lambda s: (setattr(s.jobs[JOB], "cancelled", 4.0), _late_run(s, 0, 8.1))),
    ("cancel", "a run that goes on until 4.1 s after it", lambda s: setattr(s.jobs[JOB], "cancelled", -0.4)),
    ("config", "an older version after a newer one", lambda s: s.configs.append(("front-1", 6.0, 5.9, 7))),
    ("", "an answer that was asked for before the newer one came", lambda s: s.configs.append(("front-1", 4.1, 3.95, 7))),
    ("exit", "a process aborts", lambda s: s.lives.append(o.Life("side-3", 0.0, end=3.0, status=-6))),
    ("exit", "a process ends with status 0 though nobody asked", lambda s: s.lives.append(o.Life("side-3", 0.0, end=3.0, status=0))),
    ("exit", "a process aborts after SIGTERM", lambda s: setattr(s.lives[0], "status", -6)),
    ("exit", "a process does not end after SIGTERM", lambda s: s.lives.append(
        o.Life("side-3", 0.0, stop_asked=3.0, killed=3.5 + o.MAX_STOP_S, end=3.6 + o.MAX_STOP_S, status=-9))),
    ("exit", "a process aborts, then its kill is asked for", lambda s: s.lives.append(
        o.Life("side-3", 0.0, end=3.0, killed=3.1, status=-6))),
    ("size", "too many descriptors", lambda s: s.sizes.append(("side-1", 6.0, 3076, 12.0))),
    ("size", "too much memory", lambda s: s.sizes.append(("side-1", 6.0, 40, 121.0))),
)


class _Echo(Server):
    async def handle(self, target, headers, body, peer):
        return 200, {"peer": peer}


async def _try_proxy(broken):
    """Each fault of a proxy does what its name says, and is over when it ends."""
    target = _Echo()
    await target.listen("127.0.0.1")
    proxy = Proxy(target.endpoint, source="127.0.3.1")
    await proxy.start("127.0.0.1")

    async def works(path="/", timeout=0.4):
        answer = await call(proxy.endpoint, "GET", path, timeout=timeout)
        return answer is not None and b"127.0.3.1" in answer[1]

    for how in ("refuse", "refuse-new", "up", "down", "silent", "hang-new"):
        await proxy.begin(1, how)
        passes = await works()
        await proxy.end(1, reset=True)
        if passes or not await works(timeout=5):
            broken.append(f"proxy: a call passes {how}, or none does afterwards")
    await proxy.begin(2, "silent", "front-1")
    if await works("/front-1") or not await works("/front-2", timeout=5):
        broken.append("proxy: a fault with a text does not apply to the connections that name it, and to these alone")
    await proxy.end(2)
    await proxy.begin(3, "delay", delay=0.1)
    begin = now()
    if not await works(timeout=5) or now() - begin < 0.2:
        broken.append("proxy: delay does not delay")
    target.close()


class _KeepsNoLease(Upstream):
    def settle(self):
        self.lease_at = o.NEVER
        super().settle()


async def _try_upstreams(broken):
    """Two upstreams that keep leases run a task one after the other; two that keep none run it twice at once, and the check fails."""
    for upstream_type, expected in ((Upstream, []), (_KeepsNoLease, ["overlap"])):
        seen = o.Observation()
        seen.jobs[JOB] = o.Job(JOB, "reclaim", "5000 task", [{"count": 1}], [o.Submission("front-1", 0.0)])
        both = [upstream_type(f"i-{n}", f"side-{n}", seen, random.Random(1), "zone-a", "reclaim", ["a"], 2000) for n in (1, 2)]
        for number, upstream in enumerate(both, 1):
            upstream.control = "127.0.0.1:9"  # nothing listens there: announcements are not heard
            await upstream.boot_up("127.0.0.1")
            order = {"task": f"{JOB}.0.0.0", "run": number, "fence": 1, "spec": "5000 task", "untilMs": upstream.clock() + 300}
            for changes, status in (({}, 200), ({"fence": 0, "run": 9}, 409)):
                answer = await call(upstream.endpoint, "POST", "/sycamoremoor/run-start", {**order, **changes}, timeout=5)
                if answer is None or answer[0] != status:
                    broken.append(f"upstream: a start with {changes} is answered {answer}")
            await asyncio.sleep(0.4)
        for upstream in both:
            upstream.crash()
        seen.ended = now()
        if (found := [finding.check for finding in o.check_all(seen)]) != expected:
            broken.append(f"{upstream_type.__name__}: {found} fail, not {expected}")


def _try_schedules(broken):
    if plans.text(plans.draw(5, 60)) != plans.text(plans.draw(5, 60)) or plans.draw(5, 60) == plans.draw(6, 60):
        broken.append("schedule: a seed does not determine it")
    if json.loads(plans.text(plans.draw(5, 60))) != plans.draw(5, 60):
        broken.append("schedule: what is printed cannot be played again")
    plan = {**plans.draw(5, 60), "faults": list(range(20))}
    smallest = plans.shrink(plan, lambda smaller: {3, 17} <= set(smaller["faults"]), lambda text: None)
    if smallest["faults"] != [3, 17]:
        broken.append(f"schedule: shrinking leaves {smallest['faults']}, not [3, 17]")


def run(say):
    """Returns 0 if all is as it should be."""
    broken = []
    if found := o.check_all(sound_observation()):
        broken.append(f"the sound observation fails: {[str(finding) for finding in found]}")
    for check, what, breaks in BROKEN:
        seen = sound_observation()
        breaks(seen)
        found = sorted({finding.check for finding in o.check_all(seen)})
        say(f"{'fails ' + check if check else 'all hold':18} {what}")
        if found != ([check] if check else []):
            broken.append(f"{what}: {found} fail, not [{check}]")
    for check in o.CHECKS:
        name = check.__name__.removeprefix("check_")
        if not any(name == row[0] for row in BROKEN):
            broken.append(f"check {name} was not shown to fail")
        say(f"check {name}: {check.__doc__}")
    _try_schedules(broken)
    asyncio.run(_try_proxy(broken))
    asyncio.run(_try_upstreams(broken))
    for line in broken:
        say(f"BROKEN {line}")
    say("self-test: " + ("broken" if broken else f"{len(o.CHECKS)} checks were shown to fail, the parts do what they should"))
    return 1 if broken else 0

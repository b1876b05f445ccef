"""What callers, upstreams and the store saw, and the checks on it."""
import dataclasses
import math

NEVER = math.inf
REFUSALS = (429, 503)

# Bounds, from docs/HARD-LOAD.md.
DRAIN_S = 3.0           # bounds.drainMs: no start later than this after draining was acknowledged
EVACUATE_S = 5.0        # bounds.evacuateMs: no start later than this after the store acknowledged the evacuation of a zone
CANCEL_S = 4.0          # bounds.cancel_ms: no start later than this after a cancel was acknowledged
STOP_TIMEOUT_S = 0.05   # bounds.stopTimeoutMs: a stop takes no longer
MAX_DESCRIPTORS = 3075  # of the smallest machine
MAX_RESIDENT_MB = 120   # of the smallest machine
MAX_STOP_S = 12.0       # default of --drain-timeout-ms, 5 s, and two of the longest pauses, 3.5 s each


def _record(name, fields, **defaults):
    return dataclasses.make_dataclass(name, fields.split() + [(field, object, value) for field, value in defaults.items()])


# One life of an upstream; its capacity in millicores and megabytes.
Boot = _record("Boot", "upstream guard zone service labels cpu memory begin", end=None, drain_acknowledged=None)
# One submission of a job; it has no status without an answer.
Submission = _record("Submission", "scheduler sent", answered=None, status=None, body="")
# One life of a process of the project; when it was asked to end (SIGTERM), killed, and when and how it ended.
Life = _record("Life", "process begin", stop_asked=None, killed=None, end=None, status=None)
Evacuation = _record("Evacuation", "zone acknowledged", removed=NEVER)
# A time in which a process may not have heard from the store.
Span = _record("Span", "process begin", end=NEVER)


class Run(_record("RunRecord", "task number boot spec begin", end=None, how="", due=NEVER, stop_at=NEVER, outcome="done")):
    """One start of a task at an upstream. A task is named JOB.OCCURRENCE.STEP.INDEX."""

    @property
    def until(self):
        return NEVER if self.end is None else self.end

    @property
    def job(self):
        return self.task.rsplit(".", 3)[0]

    @property
    def step_and_index(self):
        return tuple(int(number) for number in self.task.rsplit(".", 2)[1:])

    def __str__(self):
        return f"run {self.number} of {self.task} on {self.boot.upstream}"


class Job:
    """A job as its caller sent it. cancelled is the acknowledgement of its cancel."""

    def __init__(self, job_id, service, spec, steps, submissions=()):
        self.id, self.service, self.spec, self.steps = job_id, service, spec, steps
        self.submissions, self.cancelled = list(submissions), None

    @property
    def schedulers(self):
        return sorted({submission.scheduler for submission in self.submissions})


class Finding(_record("FindingRecord", "check time text processes")):
    def __str__(self):
        return f"{self.check}: at {self.time:.3f} s: {self.text}"


class Observation:
    def __init__(self):
        self.jobs, self.boots, self.runs, self.evacuations, self.lives = {}, [], [], [], []
        self.unreached = []  # Span: the process stood still, or its path to the store or the store itself was disturbed
        self.configs = []    # (scheduler, when the answer came, when it was asked, version that was in force)
        self.sizes = []      # (process, time, descriptors, resident megabytes)
        self.waits = []      # (process, begin, end, seconds): ready to run, but not scheduled by the machine; "soak" is the tool itself
        self.ended = 0.0

    def waited(self, processes, begin, end):
        """Returns for how long the processes, or this tool, were not scheduled between two moments."""
        return sum(seconds for name, a, b, seconds in self.waits if name in processes and b > begin and a < end)


def _finding(check, run, text):
    return Finding(check, run.begin, text, [run.boot.guard])


def _steps(seen):
    """Returns (run, job, step of the job) of all runs of tasks that were asked for."""
    known = [(run, seen.jobs[run.job], run.step_and_index[0]) for run in seen.runs if run.job in seen.jobs]
    return [(run, job, job.steps[step]) for run, job, step in known if step < len(job.steps)]


def check_overlap(seen):
    """No task has two runs at the same time on upstreams that are up."""
    by_task = {}
    for run in seen.runs:
        for other in by_task.setdefault(run.task, []):
            begin = max(run.begin, other.begin)
            if (common := min(run.until, other.until, seen.ended) - begin) > 0:
                schedulers = seen.jobs[run.job].schedulers if run.job in seen.jobs else []
                yield Finding("overlap", begin, f"{other} and {run} at the same time for {1000 * common:.1f} ms",
                              sorted({run.boot.guard, other.boot.guard}) + schedulers)
        by_task[run.task].append(run)


def check_capacity(seen):
    """The runs on an upstream never need more than its capacity."""
    by_boot = {}  # what begins and ends at a boot of an upstream; at one moment, ends come first
    for run, _, step in _steps(seen):
        changes = by_boot.setdefault(id(run.boot), [])
        changes += [(run.begin, 1, step, run), (run.until, -1, step, run)]
    for changes in by_boot.values():
        used, boot = {"cpu": 0, "memMb": 0}, changes[0][3].boot
        for _, sign, step, run in sorted(changes, key=lambda change: change[:2]):
            used = {name: amount + sign * step.get(name, 0) for name, amount in used.items()}
            if sign > 0 and (used["cpu"] > boot.cpu or used["memMb"] > boot.memory):
                yield _finding("capacity", run, f"with {run}, {used} of {boot.cpu} millicores and {boot.memory} MB are used")
                break


def check_place(seen):
    """Tasks start only on upstreams of their queue's service, with the label that they require."""
    for run, job, step in _steps(seen):
        label = step.get("requires", "")
        if run.boot.service != job.service or (label and label not in run.boot.labels):
            yield _finding("place", run, f"{run}, which serves {run.boot.service} with labels {run.boot.labels}; the task is of "
                           f"{job.service} and requires '{label}'")


def check_order(seen):
    """A step starts only after all tasks of the steps before it are done."""
    done = {}
    for run in seen.runs:
        if run.how == "done":
            done[run.task] = min(run.until, done.get(run.task, NEVER))
    for run, job, step in _steps(seen):
        first = run.task.rsplit(".", 2)[0]
        names = [f"{first}.{before}.{i}" for before in step.get("after", []) for i in range(job.steps[before]["count"])]
        if missing := [name for name in names if done.get(name, NEVER) > run.begin]:
            yield _finding("order", run, f"{run} began, and {missing} were not done")


def check_asked(seen):
    """Nothing starts that no caller sent: neither another job, nor another task, nor before it was sent."""
    for run in seen.runs:
        job, (step, index) = seen.jobs.get(run.job), run.step_and_index
        if job is None or not job.submissions or job.submissions[0].sent > run.begin:
            yield _finding("asked", run, f"{run}: no caller had sent this job")
        elif step >= len(job.steps) or index >= job.steps[step]["count"] or run.spec != job.spec:
            yield _finding("asked", run, f"{run}: its job has no such task, or another payload")


def check_refused(seen):
    """No job of which a task started was refused (429, 503) in the answers to all its submissions."""
    started = {}
    for run in seen.runs:
        started.setdefault(run.job, run)
    for job in seen.jobs.values():
        if job.id in started and job.submissions and all(s.status in REFUSALS for s in job.submissions):
            run, last = started[job.id], job.submissions[-1]
            yield Finding("refused", last.answered, f"job {job.id} was answered only {[s.status for s in job.submissions]}, and {run}"
                          f" began at {run.begin:.3f} s", [run.boot.guard] + job.schedulers)


def check_drain(seen):
    """No start later than bounds.drainMs after draining was acknowledged."""
    for run in seen.runs:
        at = run.boot.drain_acknowledged
        if at is not None and run.begin > at + DRAIN_S + seen.waited(("soak", run.boot.guard), at, run.begin):
            yield _finding("drain", run, f"{run} began {run.begin - at:.3f} s after draining was acknowledged")


def _has_learned(seen, guard, begin, end):
    """Whether a guard reached the store for as long as the bound between two moments, in the life in which it was at the end."""
    reached_from = max([begin] + [life.begin for life in seen.lives if life.process == guard and life.begin <= end])
    spans = [span for span in seen.unreached if span.process == guard and reached_from < span.end and span.begin < end]
    for span in sorted(spans, key=lambda span: span.begin) + [Span(guard, end)]:
        if span.begin - reached_from > EVACUATE_S + seen.waited(("soak", guard), reached_from, span.begin):
            return True
        reached_from = max(reached_from, span.end)
    return False


def check_evacuation(seen):
    """No start in a zone later than bounds.evacuateMs after its evacuation was acknowledged, at guards that reached the store."""
    for run in seen.runs:
        for evacuation in seen.evacuations:
            if evacuation.zone == run.boot.zone and evacuation.acknowledged < run.begin < evacuation.removed \
                    and _has_learned(seen, run.boot.guard, evacuation.acknowledged, run.begin):
                yield _finding("evacuation", run, f"{run} began {run.begin - evacuation.acknowledged:.3f} s after the evacuation of "
                               f"{run.boot.zone} was acknowledged")


def check_cancel(seen):
    """No start later than bounds.cancel_ms after a job's cancel was acknowledged, and no run later than bounds.stopTimeoutMs after that."""
    for run in seen.runs:
        job = seen.jobs.get(run.job)
        if job is None or job.cancelled is None:
            continue
        until, names = min(run.until, seen.ended), [run.boot.guard] + job.schedulers
        allowed = job.cancelled + CANCEL_S + seen.waited(["soak"] + names, job.cancelled, until)
        if run.begin > allowed or until > allowed + STOP_TIMEOUT_S:
            yield Finding("cancel", until, f"{run} began {run.begin - job.cancelled:.3f} s after its job's cancel was acknowledged "
                          f"and went on until {until - job.cancelled:.3f} s after it", names)


def check_config(seen):
    """A scheduler that served a version of the configuration serves no older one afterwards."""
    newest = {}  # scheduler -> [(when the answer came, version)]
    for scheduler, answered, asked, version in sorted(seen.configs, key=lambda row: row[1]):
        before = [(v, at) for at, v in newest.setdefault(scheduler, []) if at < asked and v > version]
        if before:
            yield Finding("config", answered, f"{scheduler} served version {version}; at {before[0][1]:.3f} s it had served {before[0][0]}",
                          [scheduler])
        newest[scheduler].append((answered, version))


def check_exit(seen):
    """No process ends by itself, none ends with an error or hangs after SIGTERM."""
    for life in seen.lives:
        if life.killed is not None and (life.end is None or life.end >= life.killed):
            if life.stop_asked is not None and life.killed > life.stop_asked + MAX_STOP_S + seen.waited(
                    ("soak", life.process), life.stop_asked, life.killed):
                yield Finding("exit", life.killed, f"{life.process} did not end {MAX_STOP_S:.0f} s after SIGTERM", [life.process])
        elif life.end is not None and (life.stop_asked is None or life.status != 0):
            after = "" if life.stop_asked is None else " after SIGTERM"
            yield Finding("exit", life.end, f"{life.process} ended by itself{after} with status {life.status}", [life.process])


def check_size(seen):
    """Descriptors and resident memory of a process stay within those of the smallest machine."""
    reported = set()
    for process, at, descriptors, resident in seen.sizes:
        if (descriptors > MAX_DESCRIPTORS or resident > MAX_RESIDENT_MB) and process not in reported:
            reported.add(process)
            yield Finding("size", at, f"{process} has {descriptors} descriptors and {resident:.0f} MB", [process])


CHECKS = (check_overlap, check_capacity, check_place, check_order, check_asked, check_refused, check_drain, check_evacuation, check_cancel,
          check_config, check_exit, check_size)


def check_all(seen):
    """Returns all findings, in the order of time."""
    return sorted((finding for check in CHECKS for finding in check(seen)), key=lambda finding: finding.time)

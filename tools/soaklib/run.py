"""Plays schedules and reports what they showed."""
import asyncio
import collections
import datetime
import json
import os
import shutil
import traceback

from . import observation, schedule as plans
from .fleet import Fleet
from .http11 import WALL_BEGIN

HELD, BROKEN, NOT_RUN = 0, 1, 2
LOG_BEFORE_S, LOG_AFTER_S = 2.5, 0.5  # lines that belong to a finding: as long as a lease of a batch and its resubmission
MAX_LOG_LINES = 25                    # of one process for one finding
MAX_SHOWN = 3                         # findings of one check


Result = collections.namedtuple("Result", "verdict findings summary folder")


def _summary(fleet):
    seen = fleet.seen
    statuses = collections.Counter(s.status for job in seen.jobs.values() for s in job.submissions)
    answers = ", ".join(f"{status or 'no answer'}: {count}" for status, count in sorted(statuses.items(), key=lambda row: row[0] or 0))
    ends = collections.Counter(run.how or "open" for run in seen.runs)
    waited = sum(seconds for _, _, _, seconds in seen.waits)
    return (f"{len(seen.jobs)} jobs ({answers}), {len(seen.runs)} runs ({', '.join(f'{how}: {n}' for how, n in sorted(ends.items()))}), "
            f"{len(fleet.plan['faults'])} faults, {len(seen.evacuations)} evacuations, {len(seen.lives)} starts of processes, largest "
            f"{max((s[3] for s in seen.sizes), default=0):.0f} MB and {max((s[2] for s in seen.sizes), default=0)} descriptors, "
            f"not scheduled for {waited:.2f} s in all, configuration seen {len(seen.configs)} times")


def _write_record(fleet, findings):
    rows = list(fleet.events) + [(finding.time, f"CHECK {finding}") for finding in findings]
    for run in fleet.seen.runs:
        rows += [(run.begin, f"{run} begins"), (run.end, f"{run} ends {run.how}")]
    for job in fleet.seen.jobs.values():
        for s in job.submissions:
            rows += [(s.sent, f"caller sends {job.id} to {s.scheduler}: {json.dumps(job.steps)}"),
                     (s.answered, f"caller has {s.status or 'no answer'} for {job.id} from {s.scheduler} {s.body[:120]}")]
    with open(os.path.join(fleet.folder, "record.txt"), "w", encoding="utf-8") as file:
        file.writelines(f"{at:9.3f} {text}\n" for at, text in sorted(row for row in rows if row[0] is not None))


def log_lines(folder, finding):
    """Returns the lines of the processes' logs that belong to a finding."""
    found = []
    for name in finding.processes:
        lines, at = [], 0.0
        with open(os.path.join(folder, name + ".log"), encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    at = datetime.datetime.fromisoformat(json.loads(line)["time"].replace("Z", "+00:00")).timestamp() - WALL_BEGIN
                except (ValueError, KeyError, TypeError):
                    pass  # said by the runtime of a process that aborts: it has the time of the line before
                if finding.time - LOG_BEFORE_S <= at <= finding.time + LOG_AFTER_S:
                    lines.append(f"{at:9.3f} {name}: {line.rstrip()}")
        found += lines[-MAX_LOG_LINES:]
    return found


def play(program, plan, folder):
    """Plays one schedule. Its folder keeps logs and record until the caller removes it."""
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    fleet = Fleet(program, folder, plan)
    with open(os.path.join(folder, "schedule.json"), "w", encoding="utf-8") as file:
        file.write(plans.text(plan) + "\n")
    try:
        is_whole = asyncio.run(fleet.play_whole())
    except Exception:  # whatever it is, it is no verdict on the checks
        traceback.print_exc()
        is_whole = False
    findings = observation.check_all(fleet.seen) if is_whole else []
    _write_record(fleet, findings)
    served = any(s.status == 200 for job in fleet.seen.jobs.values() for s in job.submissions)
    verdict = BROKEN if findings else HELD if is_whole and served else NOT_RUN  # a fleet that serves nothing shows nothing
    return Result(verdict, findings, _summary(fleet), folder)


def report(result, plan, say):
    say(result.summary)
    if result.verdict == NOT_RUN:
        say(f"could not run: no scheduler became ready, or no job was served; logs in {result.folder}")
    if result.verdict != BROKEN:
        return
    say(f"seed {plan['seed']}, logs and record in {result.folder}, schedule:\n{plans.text(plan)}")
    shown = collections.Counter()
    for finding in result.findings:
        shown[finding.check] += 1
        if shown[finding.check] <= MAX_SHOWN:
            say("\n    ".join([f"FAILED {finding}"] + log_lines(result.folder, finding)))
    say("findings: " + ", ".join(f"{check}: {count}" for check, count in shown.items()))

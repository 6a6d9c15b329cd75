"""What callers were told and what runners did; compares the two."""
import threading
from dataclasses import dataclass, field

from platform_rig.sites import APPLY_TIME, CANCEL_TIME

LIVE = ""  # Outcome of a run that has not ended.


@dataclass
class Run:
    """One start of a task on a runner."""
    runner: str
    number: int
    started_at: float
    outcome: str = LIVE
    ended_at: float = 0.0
    is_end_acknowledged: bool = False


@dataclass
class Submission:
    """One job and the answers to the attempts to submit it."""
    text: str
    steps: list
    open_attempts: int = 0
    was_unclear: bool = False
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    is_completed: bool = False
    runs: dict = field(default_factory=dict)  # Task name to its runs.

    @property
    def may_run(self):
        return self.open_attempts > 0 or self.was_unclear or self.accepted_at > 0

    def is_step_done(self, step):
        done = [task for task, runs in self.runs.items()
                if int(task.split(".")[2]) == step and any(run.outcome == "done" for run in runs)]
        return len(done) >= self.steps[step]["count"]


class Ledger:
    """Records of all stand-ins. Each broken rule is written down once with the second in which it was seen."""

    def __init__(self, now):
        self.now = now
        self.lock = threading.RLock()
        self.jobs = {}
        self.versions = {}
        self.acknowledged = []
        self.violations = []
        self.counts = {}

    def violation(self, text):
        with self.lock:
            self.violations.append(f"{self.now():.2f} s: {text}")

    def count(self, what, by=1):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + by

    # Configurations.

    def on_config_sent(self, version, document):
        with self.lock:
            self.versions[version] = document

    def on_config_acknowledged(self, version):
        with self.lock:
            self.acknowledged.append((self.now(), version))

    def newest_acknowledged(self, before=None):
        """Returns the highest version that was acknowledged by a time, 0 if there is none."""
        with self.lock:
            return max((v for at, v in self.acknowledged if before is None or at <= before), default=0)

    def on_config_read(self, who, sent_at, fields):
        version = fields.get("version", 0)
        newest = self.newest_acknowledged(sent_at - APPLY_TIME)
        if version < newest:
            self.violation(f"CONFIG: {who} answered version {version}, {newest} was acknowledged before")
        if fields != self.versions.get(version):
            self.violation(f"CONFIG: {who} answered a version {version} that differs from what was sent")

    # Jobs.

    def on_submit(self, job, text, steps):
        with self.lock:
            submission = self.jobs.setdefault(job, Submission(text, steps))
            submission.open_attempts += 1

    def on_submit_answer(self, job, status):
        with self.lock:
            submission = self.jobs[job]
            submission.open_attempts -= 1
            if 200 <= status < 300:
                submission.accepted_at = submission.accepted_at or self.now()
            elif status in (0, 502, 504):
                submission.was_unclear = True

    def on_cancelled(self, job):
        with self.lock:
            self.jobs[job].cancelled_at = self.jobs[job].cancelled_at or self.now()

    def on_start(self, runner, task, number, text):
        """Returns the record of a run that begins now."""
        with self.lock:
            now = self.now()
            run = Run(runner, number, now)
            submission = self.jobs.get(task.split(".")[0])
            if submission is None:
                self.violation(f"UNASKED: {runner} starts {task}, which nobody submitted")
                return run
            self._check_start(submission, runner, task, text, now)
            submission.runs.setdefault(task, []).append(run)
            return run

    def _check_start(self, submission, runner, task, text, now):
        if submission.text != text:
            self.violation(f"UNASKED: {runner} starts {task} with another text")
        if submission.cancelled_at and now > submission.cancelled_at + CANCEL_TIME:
            self.violation(f"UNASKED: {runner} starts {task} {now - submission.cancelled_at:.1f} s after its cancel")
        if not submission.may_run:
            self.violation(f"REFUSED: {runner} starts {task}, all attempts to submit it were refused")
        for other in submission.runs.get(task, []):
            if other.outcome == LIVE:
                self.violation(f"TWICE: {runner} starts {task}, run {other.number} is at work on {other.runner}")
        step = int(task.split(".")[2])
        for earlier in submission.steps[step].get("after", []):
            if not submission.is_step_done(earlier):
                self.violation(f"ORDER: {runner} starts {task} before step {earlier} is done")

    def on_end(self, run, outcome):
        with self.lock:
            if run.outcome == LIVE:
                run.outcome, run.ended_at = outcome, self.now()

    def live_runs(self, job):
        with self.lock:
            runs = self.jobs[job].runs.values()
            return sum(any(run.outcome == LIVE for run in each) for each in runs)

    def on_job_read(self, job, status, fields):
        """Checks the answer to a question for a job that was accepted."""
        state = fields.get("state")
        submission = self.jobs[job]
        if status == 410:
            self.violation(f"LOST: job {job} is unknown")
        elif state == "failed" or (state == "cancelled" and not submission.cancelled_at):
            self.violation(f"LOST: job {job} is {state} without cause")
        elif state == "completed":
            submission.is_completed = True
            if not all(submission.is_step_done(step) for step in range(len(submission.steps))):
                self.violation(f"MIXED: job {job} is completed, a task has not ended")

    def check_ends(self):
        """Checks what can only be known at the end: starts after an end that was acknowledged."""
        for job in self.jobs.values():
            for task, runs in job.runs.items():
                done = [run for run in runs if run.outcome == "done" and run.is_end_acknowledged]
                late = [run for run in runs if done and run.started_at > done[0].ended_at]
                if late:
                    self.violation(f"TWICE: {task} began again on {late[0].runner} after its end was acknowledged")

    def unfinished(self):
        """Returns the accepted jobs that must complete and have not."""
        return [job for job, s in self.jobs.items() if s.accepted_at and not s.cancelled_at and not s.is_completed
                and not any(step.get("long_running") for step in s.steps)]

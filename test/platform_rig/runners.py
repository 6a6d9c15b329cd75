"""Stand-in runners: they take starts and stops, hold leases on their own clock and report what runs and ended."""
import threading
import time
import zlib
from dataclasses import dataclass

from platform_rig.calls import CALL_TIMEOUT, call
from platform_rig.sites import DRAIN_TIME, MAX_LEASE, STOP_TIME

TICK = 0.01  # Seconds between looks at the clocks of the runs.
DELAY_AFTER_END = 0.05  # Seconds after an end until the next heartbeat.
RETRY_DELAY = 0.1  # Seconds after a heartbeat without an answer.
DEFAULT_INTERVAL = 1.5  # Seconds between heartbeats unless an answer says otherwise.
REPORTED_ENDS = 500
DRAIN_MARGIN = 1.0  # Seconds for which a runner that leaves works on after the time to drain.
LEAVE_TIMEOUT = 10.0  # Seconds after which a runner ends even if nobody acknowledged that it leaves.
CAPACITY = {"cpu": 4000, "mem_mb": 8192, "gpu": 0}


@dataclass
class ActiveRun:
    """A run on a runner and the time of its end."""
    record: object
    number: int
    cpu: int
    started_at: float
    ends_at: float
    stops_at: float = 0.0


@dataclass(frozen=True)
class End:
    """The end of a run, reported until it is acknowledged. A run that was refused has no record."""
    number: int
    task: str
    run: int
    outcome: str
    record: object


def work_seconds(text):
    """Returns the duration that a task's text of the form "work MILLISECONDS" asks for; 0 means without end."""
    return int(text.split()[1]) / 1000


class Runner:
    """One life of a runner, with a thread for its heartbeats."""

    def __init__(self, site, ledger, name, service, machine="", slow_clock=0.0, report_delay=0.0):
        self.site = site
        self.ledger = ledger
        self.name = name
        self.service = service
        self.machine = machine or f"m-{name}"
        self.slow_clock = slow_clock  # Share by which the runner's clock is slow.
        self.report_delay = report_delay  # Seconds that each heartbeat comes later than it is asked for.
        self.born = int(time.time() * 1000)
        self.lock = threading.RLock()
        self.sequence = 0
        self.fence = 0
        self.lease_until = 0.0
        self.active = {}
        self.highest = {}  # Task to its highest run that was stopped or has ended here.
        self.ended = []
        self.end_count = 0
        self.next_heartbeat = 0.0
        self.is_draining = False
        self.drain_noted_at = None  # The second in which a heartbeat that said so was acknowledged.
        self.is_up = True
        self.address = ""
        self.last_body = {}
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def kill(self):
        """Ends this life without a word; all that runs ends with it."""
        with self.lock:
            self.is_up = False
            for run in self.active.values():
                self.ledger.on_end(run.record, "crashed")
            self.active.clear()

    def _run(self):
        heartbeat = None
        while self.is_up:
            self._advance()
            if self.site.now() >= self.next_heartbeat and (heartbeat is None or not heartbeat.is_alive()):
                heartbeat = threading.Thread(target=self._beat, daemon=True)
                heartbeat.start()
            time.sleep(TICK)

    def _advance(self):
        with self.lock:
            now = self.site.now()
            for task, run in list(self.active.items()):
                if now >= self.lease_until:
                    self._end(task, "lapsed")
                elif run.ends_at and now >= run.ends_at:
                    self._end(task, "done")
                elif run.stops_at and now >= run.stops_at:
                    self._end(task, "stopped")

    def _end(self, task, outcome):
        run = self.active.pop(task)
        self.ledger.on_end(run.record, outcome)
        self.ledger.count(f"ends {outcome}")
        self._note_end(task, run.number, outcome, run.record)

    def _note_end(self, task, number, outcome, record):
        self.end_count += 1
        self.highest[task] = max(number, self.highest.get(task, 0))
        self.ended.append(End(self.end_count, task, number, outcome, record))
        self.next_heartbeat = min(self.next_heartbeat, self.site.now() + DELAY_AFTER_END)

    def _report(self):
        self.sequence += 1
        now = self.site.now()
        running = []
        for task, run in self.active.items():
            done = 100 if not run.ends_at else int(100 * (now - run.started_at) / (run.ends_at - run.started_at))
            running.append([task, run.number, "", done, run.cpu])
        return {
            "service": self.service, "addr": f"127.0.0.1:{1024 + zlib.crc32(self.name.encode()) % 30000}",
            "zone": "milano-a", "machine": self.machine, "version": "v1", "slots": 8, "cold_left_ms": 0,
            "born": self.born, "state": "draining" if self.is_draining else "ready", "capacity": CAPACITY,
            "labels": ["a", "r1"], "wall_clock_ms": int(time.time() * 1000), "seq": self.sequence, "running": running,
            "ended": [[end.number, end.task, end.run, end.outcome, ""] for end in self.ended[:REPORTED_ENDS]],
        }

    def _beat(self):
        with self.lock:
            body = self.last_body = self._report()
            sent_at = self.site.now()
            target = self.address or self.site.random.choice(self.site.listed_controls())
            self.next_heartbeat = sent_at + DEFAULT_INTERVAL
        answer = call("PUT", target, f"/instances/{self.name}", body)
        with self.lock:
            if not self.is_up:
                return
            if not answer.is_ok or self.site.now() - sent_at > CALL_TIMEOUT:
                self.address = ""
                self.next_heartbeat = self.site.now() + RETRY_DELAY
                return
            self._advance()
            if body["state"] == "draining" and self.drain_noted_at is None:
                self.drain_noted_at = self.site.now()
            self._obey(answer.fields(), sent_at)

    def _obey(self, orders, sent_at):
        self.address = orders.get("heartbeat_addr", self.address)
        fence = orders.get("fence", 0)
        if fence < self.fence:
            return
        self.fence = fence
        if "hold_ms" not in orders:
            return
        lease = min(orders["hold_ms"] / 1000, MAX_LEASE) / (1 - self.slow_clock)
        self.lease_until = max(self.lease_until, sent_at + lease)
        self._forget_ends(orders.get("ack_cursor", 0))
        for task, number in orders.get("stop", []):
            self._stop(task, number)
        for row in orders.get("start", []):
            self._start(*row[:3])
        interval = orders.get("retry_after_ms", 1000 * DEFAULT_INTERVAL) / 1000
        self.next_heartbeat = min(self.next_heartbeat, self.site.now() + (DELAY_AFTER_END if self.ended else interval))
        self.next_heartbeat += self.report_delay

    def _forget_ends(self, cursor):
        for end in self.ended:
            if end.number <= cursor and end.record is not None:
                end.record.is_end_acknowledged = True
        self.ended = [end for end in self.ended if end.number > cursor]

    def _stop(self, task, number):
        run = self.active.get(task)
        if run and run.number == number:
            run.stops_at = run.stops_at or self.site.now() + STOP_TIME / 2
        elif not run:
            self.highest[task] = max(number, self.highest.get(task, 0))

    def _start(self, task, number, text):
        now = self.site.now()
        if task in self.active and number > self.active[task].number:
            self.ledger.violation(f"TWICE: {self.name} is to start run {number} of {task} beside an earlier one")
        if task in self.active or number <= self.highest.get(task, 0) or now >= self.lease_until:
            self.ledger.count("starts sent again")
            return
        cpu = self._cpu_of(task)
        if sum(run.cpu for run in self.active.values()) + cpu > CAPACITY["cpu"]:
            self.ledger.count("starts without room")
            self._note_end(task, number, "refused", None)
            return
        if self.drain_noted_at is not None and now > self.drain_noted_at + DRAIN_TIME:
            self.ledger.violation(f"DRAIN: {self.name} is to start {task} {now - self.drain_noted_at:.1f} s after it "
                                  "said that it leaves")
        record = self.ledger.on_start(self.name, task, number, text)
        self.ledger.count("starts")
        work = work_seconds(text)
        self.active[task] = ActiveRun(record, number, cpu, now, now + work if work else 0.0)

    def _cpu_of(self, task):
        job = self.ledger.jobs.get(task.split(".")[0])
        return job.steps[int(task.split(".")[2])]["cpu"] if job else 0

    def leave(self):
        """Reports that it drains, works on for the time that this takes, and ends."""
        with self.lock:
            self.is_draining = True
            self.next_heartbeat = 0.0
        deadline = self.site.now() + LEAVE_TIMEOUT
        while self.is_up and not self._may_leave() and self.site.now() < deadline:
            time.sleep(TICK)
        call("DELETE", self.site.random.choice(self.site.listed_controls()), f"/instances/{self.name}")
        self.kill()

    def _may_leave(self):
        return self.drain_noted_at is not None and self.site.now() > self.drain_noted_at + DRAIN_TIME + DRAIN_MARGIN

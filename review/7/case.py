"""A paused control machine passes on the goodbye of a runner's ended life, whose next life under the same id is at work."""
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "6"))
from standins import BOUNDS, CONTROL_PORT, CannotRun, call, config, route, run_case, Runner  # noqa: E402

ENTRIES = 7  # With three machines for control, the paused one is a share of 0.1.
RUNNERS, RESTARTED = 16, 8
CPU = 2000  # One task fills a runner.
FREEZE, LONGEST_FREEZE = 3.4, 4.8  # Seconds.
FRESH, ENOUGH = 0.4, 2  # The machine wakes when so many runners at work had an answer in the last so many seconds.
LATE = 0.8  # Seconds that each heartbeat of a restarted runner at work is on its way; its answer comes in time.
WORK = 8.0  # Seconds.


class LateRunner(Runner):
    """A runner whose heartbeats arrive late while it is at work, and which says goodbye before it ends."""
    is_draining = False
    late = 0.0
    answered_at = 0.0

    def call_control(self, target, body):
        body["state"] = "draining" if self.is_draining else "ready"
        time.sleep(self.late if self.running else 0.0)
        answer = super().call_control(target, body)
        self.answered_at = self.record.now()
        return answer

    def leave(self, controls):
        """Ends this life in order: draining, the time for it, then DELETE at one control machine after the other."""
        self.is_draining = True
        time.sleep(BOUNDS["drain_ms"] / 1000 + 2.5)
        for machine in controls:
            status, _ = call("DELETE", machine.address(CONTROL_PORT), f"/instances/{self.name}")
            self.record.write(self.name, f"DELETE /instances/{self.name} to {machine.name} <- {status or 'no answer'}")
            if status == 200:
                break
        self.is_up = False


def case(record, deployment, has_trouble):
    broken, lives = [], {}
    lock = threading.Lock()

    def on_start(task, run):
        with lock:
            holders = [(runner.name, runner.running[task][0]) for runner in lives.values()
                       if runner.is_up and task in runner.running and runner.running[task][0] != run]
        for name, other in holders:
            broken.append(f"TWICE: run {run} of {task} has begun while run {other} of it is at work on {name}")

    def new_life(i):
        runner = LateRunner(deployment, f"runner-{i}", "runners", lambda task, run: (WORK, "done"), cpu=CPU,
                            on_start=on_start)
        runner.late = LATE if i < RESTARTED else 0.0
        with lock:
            lives[i] = runner
        runner.start()

    def wake(frozen_at):
        """Ends the freeze, shortly after answers to runners at work, so that their next heartbeats are far off."""
        while record.now() < frozen_at + LONGEST_FREEZE:
            now = record.now()
            with lock:
                fresh = [i for i, runner in lives.items()
                         if i < RESTARTED and runner.running and now - runner.answered_at < FRESH]
            if now >= frozen_at + FREEZE and len(fresh) >= ENOUGH:
                break
            time.sleep(0.02)
        paused.signal(signal.SIGCONT)
        record.write("case", f"{paused.name} was frozen for {record.now() - frozen_at:.1f} s")

    deployment.start(config(1, [route("/grants/", "runners")], ["runners"]))
    leader = deployment.leader()
    paused = next((machine for machine in deployment.controls if machine is not leader), None)
    if leader is None:
        raise CannotRun("no process leads")
    for i in range(RESTARTED):
        new_life(i)
    time.sleep(3.0)
    order = [paused] + [machine for machine in deployment.controls if machine is not paused]
    leaving = [threading.Thread(target=lives[i].leave, args=(order,)) for i in range(RESTARTED)]
    for thread in leaving:
        thread.start()
    time.sleep(BOUNDS["drain_ms"] / 1000 + 2.3)
    frozen_at = record.now()
    if has_trouble:
        paused.signal(signal.SIGSTOP)
        threading.Thread(target=wake, args=(frozen_at,), daemon=True).start()
    for thread in leaving:
        thread.join()
    for i in range(RESTARTED):
        new_life(i)
    time.sleep(1.0)
    steps = [{"count": RESTARTED // 2, "cpu": CPU, "mem_mb": 64, "estimate_ms": int(1000 * WORK)}]
    for i in range(2):
        status, _ = deployment.client("POST", f"/grants/{0xaa0 + i:016x}", {"spec": "work", "steps": steps}, entry=i)
        if status != 200:
            raise CannotRun("a job was not accepted")
    time.sleep(0.5)
    for i in range(RESTARTED, RUNNERS):
        new_life(i)
    time.sleep(max(0.0, frozen_at + LONGEST_FREEZE - record.now()) + WORK)
    return broken


run_case(case, FOLDER, ENTRIES)

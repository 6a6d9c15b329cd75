"""A client cancels the job that it got no answer about; the machine that holds its request stands still meanwhile."""
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "6"))
from standins import BOUNDS, config, route, run_case, Runner  # noqa: E402

JOB = "00000000000000c1"
ENTRIES = 7  # With three machines for control, the frozen one is a share of 0.1.
FREEZE = 4.5  # Seconds.
PATIENCE = 0.6  # Seconds after which the client leaves.
CANCEL = BOUNDS["cancel_ms"] / 1000


def case(record, deployment, has_trouble):
    starts = []
    deployment.start(config(1, [route("/grants/", "runners")], ["runners"]))
    runners = [Runner(deployment, f"runner-{i}", "runners", lambda task, run: (None, ""),
                      on_start=lambda task, run: starts.append((record.now(), task, run))) for i in range(3)]
    for runner in runners:
        runner.start()
    time.sleep(2.0)
    holder = deployment.entries[0]
    if has_trouble:
        holder.signal(signal.SIGSTOP)
        thaw = threading.Timer(FREEZE, holder.signal, [signal.SIGCONT])
        thaw.start()
    steps = [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 1000, "long_running": True}]
    deployment.client("POST", f"/grants/{JOB}", {"spec": "work", "steps": steps}, entry=0, timeout=PATIENCE)
    status, _ = deployment.client("DELETE", f"/grants/{JOB}", entry=1)
    if status not in (200, 410):
        record.write("case", "the cancellation was not acknowledged")
        return []
    cancelled_at = record.now()
    time.sleep(FREEZE + 6.0)
    deployment.client("GET", f"/grants/{JOB}", entry=1)
    broken = [f"UNASKED: run {run} of {task} has begun {at - cancelled_at:.1f} s after the cancellation was acknowledged"
              for at, task, run in starts if at > cancelled_at + CANCEL]
    limit = cancelled_at + CANCEL + BOUNDS["stop_ms"] / 1000
    for runner in runners:
        for task, (run, start, _, _) in list(runner.running.items()):
            if record.now() > limit:
                broken.append(f"UNASKED: run {run} of {task} still runs {record.now() - cancelled_at:.1f} s after it")
    return broken


run_case(case, FOLDER, ENTRIES)

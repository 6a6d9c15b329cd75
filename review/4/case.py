"""Jobs come at once on a queue whose steps need advice; the advice service takes its calls one after the other."""
import json
import os
import random
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))
from stand_ins import HAS_TROUBLE, Fleet, play, wait_until  # noqa: E402

DECIDE, INTERVAL, VALID = 0.4, 0.05, 3.0  # Seconds, as in the queue's configuration.
MAX_WAITING = 32
RUNNERS = 10
JOBS = 12
FINISH = 14.0
IDLE = 3.0  # Seconds for which a job must have had nothing running.


class AdvisedFleet(Fleet):
    """A fleet whose starts need a ticket of the advice service."""

    def __init__(self, deployment):
        super().__init__(deployment)
        self.tickets = {}  # (step, runner, ticket) to the time until which it is valid.
        self.turns = {}  # Calling address to the lock that its calls take in turn.
        self.waiting = {}
        self._serve_advice()

    def is_ticket_valid(self, runner, task, ticket):
        until = self.tickets.get((task.rsplit(".", 1)[0], runner.name, ticket), 0.0)
        return time.monotonic() <= until

    def advise(self, caller, fields):
        """Returns the status and the body of an answer; the calls of one machine wait for each other."""
        with self.lock:
            turn = self.turns.setdefault(caller, threading.Lock())
            if self.waiting.get(caller, 0) >= MAX_WAITING:
                return 429, {}
            self.waiting[caller] = self.waiting.get(caller, 0) + 1
        asked_at = time.monotonic()
        with turn:
            with self.lock:
                self.waiting[caller] -= 1
            time.sleep(DECIDE + INTERVAL * len(fields["workers"]))
        approved = []
        for worker in fields["workers"]:
            ticket = f"{random.getrandbits(32):08x}"
            self.tickets[(fields["step"], worker, ticket)] = time.monotonic() + VALID
            approved.append([worker, ticket])
        self.record.note(f"advice  {fields['step']} for {len(approved)} runners, answered after "
                         f"{time.monotonic() - asked_at:.2f} s")
        return 200, {"approved": approved, "valid_ms": int(VALID * 1000)}

    def _serve_advice(fleet):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *unused):
                pass

            def do_POST(self):
                fields = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                status, answer = fleet.advise(self.client_address[0], fields)
                text = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                pass  # The caller has closed its connection.

        host, port = fleet.deployment.advice_address.split(":")
        threading.Thread(target=Server((host, int(port)), Handler).serve_forever, daemon=True).start()


def scenario(record, deployment, fleet):
    started = set()
    fleet.observers.append(lambda what, runner, run, why: started.add(run.task.split(".")[0]))
    deployment.configure({"intake": False}, advice={
        "decide_ms": int(DECIDE * 1000), "interval_ms": int(INTERVAL * 1000), "valid_ms": int(VALID * 1000)})
    for number in range(RUNNERS):
        fleet.add_machine(f"m-{number}", "intake")
    time.sleep(2.0)
    steps = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}]
    if HAS_TROUBLE:
        record.note(f"burst: {JOBS} jobs come at once")
    jobs = []
    for _ in range(JOBS):
        job = fleet.submit("intake", steps, "0.5")
        jobs.append(job)
        if not HAS_TROUBLE:
            wait_until(lambda: job in started, 20, "the job has started")
    time.sleep(FINISH)
    idle = [job for job in jobs if job not in started]
    record.note(f"{FINISH:.0f} s after the last job: {len(jobs) - len(idle)} jobs have started, {len(idle)} haven't")
    time.sleep(IDLE)
    for job in jobs:
        status, fields = deployment.request("GET", "intake", job)
        busy = sum(len(machine["runner"].runs) for machine in fleet.machines.values())
        if job in idle and job not in started and busy * 2 < RUNNERS * 8:
            record.broken(f"LOST: {job} is {fields.get('state')} with status {status}; nothing of it has run, "
                          f"{busy} tasks run on {RUNNERS} runners with room for {RUNNERS * 8}")


play(CASE, scenario, AdvisedFleet, has_advice=True)

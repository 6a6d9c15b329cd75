"""Stand-in callers: clients that submit, read and cancel jobs, an operator, and a reader of the configuration."""
import base64
import os
import random
import threading
import time

from platform_rig.calls import call
from platform_rig.sites import APPLY_TIME, FINISH

HOST = "jobs.example"
SERVICES = ("quotes", "surveys")
ADDED_ROUTES = 20  # The newest versions that keep a route of their own.
CLIENT_TIMEOUT_MS = 3000
FORGET_AFTER = 100.0  # Seconds; a job that has ended stays readable for at least 120 s.
POLL_INTERVAL = 0.15
RETRY_DELAY = 0.2


def route(name, prefix, service, **fields):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "mutating", "timeout_ms": CLIENT_TIMEOUT_MS,
            "slo_ms": 3000, "priority": 0, "service": service, "attempts": 3, "stretch": 1.6, **fields}


def caller_headers(key=""):
    """Returns the headers of a caller's request; key: its API key, empty for none."""
    headers = {"Host": HOST, "Timeout-Ms": str(CLIENT_TIMEOUT_MS)}
    return {**headers, "Authorization": f"Bearer {key}"} if key else headers


def configuration(version, base_routes, customers=()):
    """Returns a whole configuration; each version adds a route of its own."""
    first = max(1, version - ADDED_ROUTES)
    added = [route(f"r-{v}", f"/added-{v}/", SERVICES[0]) for v in range(first, version + 1)]
    services = [{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                 "rejects_overload": True, "standby": False} for name in SERVICES]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    document = {"version": version, "routes": base_routes + added, "services": services, "limits": limits}
    return {**document, "tenants": list(customers)} if customers else document


class Caller:
    """A thread that repeats one action until it is stopped."""

    def __init__(self, site, ledger, seed):
        self.site = site
        self.ledger = ledger
        self.random = random.Random(seed)
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._loop, daemon=True)

    def start(self):
        self.thread.start()
        return self

    def stop(self):
        self.stopping.set()

    def _loop(self):
        while not self.stopping.is_set():
            self.act()

    def act(self):
        raise NotImplementedError


class Operator(Caller):
    """Sends rising versions of the configuration, each unchanged to other processes until it is acknowledged."""

    BASE_ROUTES = [route(f"r-{name}", f"/{name}/", name) for name in SERVICES]

    def __init__(self, site, ledger, seed, interval=1.5):
        super().__init__(site, ledger, seed)
        self.interval = interval
        self.version = 0
        self.customers = ()
        self.routes = self.BASE_ROUTES
        self.filler_bytes = 0  # Random bytes in each version, so that the log grows and snapshots are taken.

    def act(self):
        self.apply(self.stopping.is_set)
        self.stopping.wait(self.random.uniform(0.5, 1.5) * self.interval)

    def apply(self, should_stop=lambda: False):
        """Sends one new version until it is acknowledged; returns it, or 0 if it was given up."""
        self.version += self.random.randint(1, 3)
        document = configuration(self.version, self.routes, self.customers)
        if self.filler_bytes:
            document["comment"] = base64.b64encode(os.urandom(self.filler_bytes)).decode()
        self.ledger.on_config_sent(self.version, document)
        while not should_stop():
            answer = call("PUT", self.random.choice(self.site.listed_controls()), "/config", document)
            if answer.is_ok:
                self.ledger.on_config_acknowledged(self.version)
                return self.version
            if 400 <= answer.status < 500 and answer.status not in (408, 429):
                self.ledger.violation(f"CONFIG: version {self.version} refused with {answer.status}")
                return 0
            time.sleep(RETRY_DELAY)
        return 0


class ConfigReader(Caller):
    """Reads the configuration and uses its newest route at any process; compares both with what was acknowledged."""

    INTERVAL = 0.1

    def __init__(self, site, ledger, seed):
        super().__init__(site, ledger, seed)
        self.last_read = site.now()
        self.longest_gap = 0.0

    def act(self):
        self._read_document()
        self._read_newest_route()
        time.sleep(self.INTERVAL)

    def _read_document(self):
        address = self.random.choice(self.site.listed_controls())
        sent_at = self.site.now()
        answer = call("GET", address, "/config")
        if answer.is_ok:
            self.ledger.on_config_read(address, sent_at, answer.fields())
            self.longest_gap = max(self.longest_gap, self.site.now() - self.last_read)
            self.last_read = self.site.now()
        elif answer.status not in (0, 408, 429) and answer.status < 500:
            self.ledger.violation(f"CONFIG: {address} answered a read with {answer.status}")

    def _read_newest_route(self):
        version = self.ledger.newest_acknowledged(self.site.now() - APPLY_TIME)
        entries = self.site.running_entries()
        if version and entries:
            address = self.random.choice(entries).front
            answer = call("GET", address, f"/added-{version}/", None, {"Host": HOST})
            if answer.status == 404:
                self.ledger.violation(f"CONFIG: {address} doesn't know the route that version {version} added")

    def stop(self):
        self.longest_gap = max(self.longest_gap, self.site.now() - self.last_read)
        super().stop()


class Client(Caller):
    """Submits one job after the other and waits for the end of each."""

    def __init__(self, site, ledger, seed):
        super().__init__(site, ledger, seed)
        self.key = ""
        self.completed = []
        self.finish_by = 0.0

    def stop(self):
        self.finish_by = self.site.now() + FINISH
        super().stop()

    def may_wait(self):
        return not self.stopping.is_set() or self.site.now() < self.finish_by

    def act(self):
        service = self.random.choice(SERVICES)
        text, steps = self._job()
        job = f"{self.random.getrandbits(64):016x}"
        if self.submit(service, job, text, steps):
            if self.random.random() < 0.1:
                self._cancel(service, job)
            else:
                self._await_end(service, job)
        self._read_earlier_job()

    def _job(self):
        steps = [{"count": self.random.randint(1, 3), "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]
        if self.random.random() < 0.5:
            steps.append({"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 300, "after": [0]})
        return f"work {self.random.randint(100, 500)} {self.random.getrandbits(32)}", steps

    def send(self, method, service, job, body=None):
        entries = self.site.running_entries() or self.site.entries
        address = self.random.choice(entries).front
        return call(method, address, f"/{service}/{job}", body, caller_headers(self.key),
                    timeout=CLIENT_TIMEOUT_MS / 1000)

    def submit(self, service, job, text, steps):
        """Sends a job again while its fate is unclear; returns whether it was accepted."""
        while self.may_wait():
            self.ledger.on_submit(job, text, steps)
            answer = self.send("POST", service, job, {"spec": text, "steps": steps})
            self.ledger.on_submit_answer(job, answer.status)
            self.ledger.count(f"submissions {answer.status}")
            if answer.is_ok:
                return True
            if answer.status not in (0, 502, 504):
                time.sleep(RETRY_DELAY)
                return False
            time.sleep(RETRY_DELAY)
        return False

    def _await_end(self, service, job):
        while self.may_wait():
            answer = self.send("GET", service, job)
            self.ledger.on_job_read(job, answer.status, answer.fields())
            if self.ledger.jobs[job].is_completed:
                self.completed.append((self.site.now(), service, job))
                self.ledger.count("jobs completed")
                return
            time.sleep(POLL_INTERVAL)

    def _cancel(self, service, job):
        while self.may_wait():
            answer = self.send("DELETE", service, job)
            if answer.is_ok or answer.status == 410:
                self.ledger.on_cancelled(job)
                return
            time.sleep(RETRY_DELAY)

    def _read_earlier_job(self):
        if not self.completed:
            return
        at, service, job = self.random.choice(self.completed)
        if self.site.now() - at < FORGET_AFTER:
            answer = self.send("GET", service, job)
            self.ledger.on_job_read(job, answer.status, answer.fields())

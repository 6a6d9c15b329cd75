"""Scenarios with API keys that are withdrawn and added again while callers use them."""
import glob
import threading
import time

from platform_rig import faults
from platform_rig.callers import CLIENT_TIMEOUT_MS, SERVICES, Caller, caller_headers, route
from platform_rig.calls import call
from platform_rig.faults import MARGIN, wait_for_room
from platform_rig.sites import APPLY_TIME, RECOVERY

KEPT_KEY, CHANGED_KEY, FOREIGN_KEY = "s3cret-kept", "s3cret-changed", "s3cret-foreign"
UNKNOWN_KEY = "s3cret-unknown"
KEPT = {"name": "kept", "api_keys": [KEPT_KEY], "weight": 50, "priority": 0}
FOREIGN = {"name": "foreign", "api_keys": [FOREIGN_KEY], "weight": 50, "priority": 1}
WITH_KEY = {"name": "changed", "api_keys": [CHANGED_KEY], "weight": 50, "priority": 1, "max_count": {"cpu": 0}}
WITHOUT_KEY = {**WITH_KEY, "api_keys": ["s3cret-new"]}
PUBLIC_ROUTE = route("r-open", "/open/", SERVICES[0], public=True)
UNANSWERED = (0, 408, 429, 502, 503, 504)  # Statuses that tell nothing about a key.
CHANGES = 3
FILLER_BYTES = 500000  # Of a version; a snapshot is taken after 4 MiB of commands.
FILLER_INTERVAL = 0.3  # Seconds between such versions.
SNAPSHOT_TIMEOUT = 40.0  # Seconds.
HELD_REQUEST_TIMEOUT = 10.0  # Seconds; longer than the pause of the process that is asked.
FLOOD_TIME = 8.0  # Seconds.
MAX_REJECTED = 512 + 50 * (FLOOD_TIME + 2)  # Responses 401 of an entry process: its bucket and what flows into it.
MIN_SERVED = 0.9  # Share of the requests with a known key that are answered during a flood.


class KeyUser(Caller):
    """Sends requests with one key and checks each answer against the times at which the key was changed."""

    def __init__(self, rig, key, path="/quotes/"):
        super().__init__(rig.site, rig.ledger, 0)
        self.key = key
        self.path = path
        self.changes = [(0.0, rig.site.now(), True)]  # When a change was begun and acknowledged; validity after it.
        self.statuses = {}

    def act(self):
        entries = self.site.running_entries()
        if entries:
            self.ask(self.random.choice(entries))
        self.stopping.wait(0.02)

    def ask(self, machine, timeout=CLIENT_TIMEOUT_MS / 1000):
        sent_at = self.site.now()
        answer = call("GET", machine.front, self.path, None, caller_headers(self.key), timeout)
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        self._check(answer.status, sent_at, self.site.now())
        return answer.status

    def _check(self, status, sent_at, answered_at):
        """The key counts as changed from APPLY_TIME after the acknowledgement until the next change begins."""
        for (_, acknowledged_at, is_valid), (next_begun_at, _, _) in zip(
                self.changes, [*self.changes[1:], (answered_at + 1, 0, False)]):
            if sent_at < acknowledged_at + APPLY_TIME or answered_at > next_begun_at:
                continue
            if is_valid and status in (401, 403, 404):
                self.ledger.violation(f"KEY: a request at {sent_at:.2f} s with a valid key got {status}")
            if not is_valid and status != 401 and status not in UNANSWERED:
                self.ledger.violation(f"KEY: a request at {sent_at:.2f} s with a withdrawn key got {status}")


def start_with_customers(rig):
    """Starts a site with customers and users of a key that stays, of one that changes and of a public route."""
    rig.use_customers((KEPT, WITH_KEY, FOREIGN), KEPT_KEY, [PUBLIC_ROUTE])
    rig.start()
    users = [KeyUser(rig, KEPT_KEY), KeyUser(rig, CHANGED_KEY), KeyUser(rig, "", "/open/"),
             KeyUser(rig, UNKNOWN_KEY, "/open/")]
    for user in users:
        user.start()
    return users


def change_key(rig, user, is_valid):
    """Adds or withdraws the key that changes; returns once a version with that is acknowledged."""
    customers = (KEPT, WITH_KEY if is_valid else WITHOUT_KEY, FOREIGN)
    begun_at = rig.site.now()
    user.changes.append((begun_at, float("inf"), is_valid))
    rig.operator.customers = customers

    def acknowledged_at():
        with rig.ledger.lock:
            return min((at for at, version in rig.ledger.acknowledged if at > begun_at
                        and rig.ledger.versions[version]["tenants"] == list(customers)), default=None)

    rig.wait(lambda: acknowledged_at() is not None, RECOVERY, "a version with the changed key is acknowledged")
    user.changes[-1] = (begun_at, acknowledged_at() or float("inf"), is_valid)
    rig.note(f"key {'added' if is_valid else 'withdrawn'}")


def expect_status(rig, user, statuses, seconds=RECOVERY):
    """Waits until every entry process answers a request of a user with one of the statuses."""
    rig.wait(lambda: all(user.ask(machine) in statuses for machine in rig.site.running_entries()), seconds,
             f"every entry process answers with {statuses}")


def check_jobs_of_customers(rig):
    """Nobody reaches another customer's job, and nothing runs without a key."""
    front = rig.site.running_entries()[0].front
    path = f"/{SERVICES[0]}/00000000000000ff"  # The long job; its customer is the kept one.
    body = {"spec": "work 0", "steps": [{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 100}]}
    for key, expected in ((FOREIGN_KEY, (403, 409, 403)), (UNKNOWN_KEY, (401, 401, 401)), ("", (401, 401, 401))):
        for method, status in zip(("GET", "POST", "DELETE"), expected):
            answer = call(method, front, path, body if method == "POST" else None, caller_headers(key))
            if answer.status != status and answer.status not in UNANSWERED:
                rig.ledger.violation(f"KEY: {method} of another customer's job got {answer.status}, not {status}")


def check_secrets(rig):
    """No log of a process contains a key."""
    for machine in rig.site.all_machines:
        with open(machine.log_path, errors="replace") as log:
            text = log.read()
        if "s3cret" in text:
            rig.ledger.violation(f"KEY: the log of {machine.name} contains a key")


def finish_with_customers(rig, users):
    for user in users:
        user.stop()
    for user in users:
        user.thread.join()
        rig.note(f"{user.path} with {user.key or 'no key'}: {user.statuses}")
    check_jobs_of_customers(rig)
    rig.finish()
    check_secrets(rig)


def change_series(rig, cause):
    """Withdraws and adds the key several times, with a fault after each acknowledged withdrawal."""
    users = start_with_customers(rig)
    changed = users[1]
    for _ in range(CHANGES):
        expect_status(rig, changed, (200,))
        wait_for_room(rig.site)
        change_key(rig, changed, False)
        cause(rig)
        time.sleep(APPLY_TIME + MARGIN)
        expect_status(rig, changed, (401,))
        change_key(rig, changed, True)
    time.sleep(APPLY_TIME + MARGIN)
    expect_status(rig, changed, (200,))
    finish_with_customers(rig, users)


def keys_withdrawn(rig):
    """A key is withdrawn and added again while callers with and without keys are connected."""
    change_series(rig, lambda rig: None)


def keys_leader_killed(rig):
    """The same, and the leader is killed right after each acknowledged withdrawal."""
    change_series(rig, lambda rig: faults.kill_and_restart(rig.site, rig.site.wait_for_leader(), 1.0))


def keys_all_restarted(rig):
    """The same, and all control processes are killed and start again from their disks after each withdrawal."""
    change_series(rig, lambda rig: rig.kill_all())


def keys_disk_lost(rig):
    """The same, and the leader starts again with an empty disk after each withdrawal."""
    def lose_disk(rig):
        faults.lose_disk(rig.site, faults.choose_slot(rig.site, rig.random, wants_leader=True), 1.0)
    change_series(rig, lose_disk)


def take_snapshots(rig):
    """Sends large versions until every control process has taken a snapshot."""
    interval, rig.operator.interval = rig.operator.interval, FILLER_INTERVAL
    rig.operator.filler_bytes = FILLER_BYTES
    rig.wait(lambda: all(glob.glob(f"{machine.data_dir}/snapshot-*") for machine in rig.site.slots),
             SNAPSHOT_TIMEOUT, "every control process has taken a snapshot")
    rig.operator.filler_bytes = 0
    rig.operator.interval = interval
    rig.note("every control process has a snapshot")


def keys_snapshot(rig):
    """A key is withdrawn, and all control processes start again from snapshots that were taken after that."""
    users = start_with_customers(rig)
    expect_status(rig, users[1], (200,))
    change_key(rig, users[1], False)
    take_snapshots(rig)
    rig.kill_all()
    time.sleep(APPLY_TIME + MARGIN)
    expect_status(rig, users[1], (401,))
    change_key(rig, users[1], True)
    time.sleep(APPLY_TIME + MARGIN)
    expect_status(rig, users[1], (200,))
    finish_with_customers(rig, users)


def hold_requests(rig, user, number):
    """Requests with a key lie in a paused entry process while the key is withdrawn."""
    holder = rig.site.running_entries()[0]
    job = f"{0xe40 + number:016x}"
    steps = [{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 100}]
    results = []

    def submit():
        answer = call("POST", holder.front, f"/{SERVICES[0]}/{job}", {"spec": "work 1", "steps": steps},
                      caller_headers(CHANGED_KEY), HELD_REQUEST_TIMEOUT)
        results.append(answer.status)

    rig.note(f"pause {holder.name}")
    holder.pause()
    sent = [threading.Thread(target=submit, daemon=True),
            threading.Thread(target=lambda: results.append(call(
                "GET", holder.front, user.path, None, caller_headers(CHANGED_KEY), HELD_REQUEST_TIMEOUT).status),
                daemon=True)]
    for thread in sent:
        thread.start()
    change_key(rig, user, False)
    time.sleep(APPLY_TIME + MARGIN)
    holder.resume()
    for thread in sent:
        thread.join()
    rig.note(f"held requests were answered with {sorted(results)}")
    if any(status != 401 and status not in UNANSWERED for status in results):
        rig.ledger.violation(f"KEY: requests held in {holder.name} got {results} with a withdrawn key")
    change_key(rig, user, True)
    time.sleep(APPLY_TIME + MARGIN)
    expect_status(rig, user, (200,))


def keys_entry_paused(rig):
    """Requests lie in a paused entry process while their key is withdrawn; they are rejected and nothing runs."""
    users = start_with_customers(rig)
    for number in range(CHANGES):
        hold_requests(rig, users[1], number)  # The ledger reports a run of a job that it doesn't know.
    finish_with_customers(rig, users)


class Flood(Caller):
    """Sends requests with a new unknown key each to one entry process."""

    def __init__(self, rig, machine, number):
        super().__init__(rig.site, rig.ledger, number)
        self.machine = machine
        self.number = number
        self.statuses = {}

    def act(self):
        key = f"{UNKNOWN_KEY}-{self.number}-{self.random.getrandbits(64):x}"
        status = call("GET", self.machine.front, "/quotes/", None, caller_headers(key)).status
        self.statuses[status] = self.statuses.get(status, 0) + 1


def keys_flooded(rig):
    """Clients with unknown keys flood an entry process: beyond its limit they get 503, and others are served."""
    users = start_with_customers(rig)
    time.sleep(APPLY_TIME)
    machine = rig.site.running_entries()[0]
    before = {user: dict(user.statuses) for user in users}
    floods = [Flood(rig, machine, number).start() for number in range(8)]
    time.sleep(FLOOD_TIME)
    for flood in floods:
        flood.stop()
    for flood in floods:
        flood.thread.join()
    totals = {status: sum(f.statuses.get(status, 0) for f in floods) for f in floods for status in f.statuses}
    rig.note(f"unknown keys: {totals}")
    if totals.get(401, 0) > MAX_REJECTED or not totals.get(503):
        rig.ledger.violation(f"KEY: unknown keys got {totals}, at most {MAX_REJECTED:.0f} times 401 are allowed")
    for user in users:
        during = {status: n - before[user].get(status, 0) for status, n in user.statuses.items()}
        if during.get(200, 0) < MIN_SERVED * sum(during.values()):
            rig.ledger.violation(f"KEY: {user.path} with {user.key or 'no key'} got {during} beside a flood")
    finish_with_customers(rig, users)


KEY_SCENARIOS = [keys_withdrawn, keys_leader_killed, keys_all_restarted, keys_disk_lost, keys_snapshot,
                 keys_entry_paused, keys_flooded]

"""A running site with its stand-ins, and the checks that every scenario ends with."""
import json
import random
import time

from platform_rig import faults
from platform_rig.callers import SERVICES, Client, ConfigReader, Operator, caller_headers
from platform_rig.calls import call
from platform_rig.ledger import Ledger
from platform_rig.machines import FRONT_PORT
from platform_rig.provider import Provider
from platform_rig.sites import ACK_TIMEOUT, APPLY_TIME, CONTACT, FINISH, RECOVERY, Site, says_it_leads
from platform_rig.watch import Watch, read_events

FIRST_CONFIG_TIMEOUT = 20.0  # Seconds, with the machines' start.
LONG_JOB = "00000000000000ff"
LONG_JOB_TASKS = 2
POLL_INTERVAL = 0.05


class Rig:
    """One run of a scenario."""

    def __init__(self, name, seed, controls=3, tolerance=1, entries=2, runners=4, clients=6,
                 report_delay=0.0, request_limits=None):
        self.random = random.Random(seed)
        self.site = Site(name, seed, controls, entries, tolerance, request_limits)
        self.ledger = Ledger(self.site.now)
        self.notes = []
        self.provider = Provider(self.site, self.ledger)
        self.runner_count = runners
        self.report_delay = report_delay
        self.operator = Operator(self.site, self.ledger, seed)
        self.reader = ConfigReader(self.site, self.ledger, seed + 1)
        self.clients = [Client(self.site, self.ledger, 1000 * seed + i) for i in range(clients)]
        self.watch = None
        self.key = ""

    def use_customers(self, customers, key, routes=()):
        """Starts the site with customers; key: the API key of all callers; routes: to be added."""
        self.operator.customers = customers
        self.operator.routes = [*self.operator.routes, *routes]
        self.key = key
        for client in self.clients:
            client.key = key

    def note(self, text):
        self.notes.append(f"{self.site.now():.2f} s: {text}")

    def start(self):
        """Starts everything; returns when the first jobs have completed."""
        self.site.start()
        self.watch = Watch(self.site, self.ledger)
        deadline = self.site.now() + FIRST_CONFIG_TIMEOUT
        if not self.operator.apply(lambda: self.site.now() > deadline):
            raise TimeoutError(f"no configuration was accepted within {FIRST_CONFIG_TIMEOUT} s")
        for i in range(self.runner_count):
            self.provider.add_runner(SERVICES[i % len(SERVICES)], slow_clock=0.02 if i == 0 else 0.0,
                                     report_delay=self.report_delay)
        for caller in [self.operator, self.reader, *self.clients]:
            caller.start()
        self.submit_long_job(LONG_JOB, SERVICES[0])
        self.wait(lambda: self.ledger.counts.get("jobs completed", 0) > 5, FINISH, "jobs complete")
        self.note("jobs complete; the faults begin")

    def submit_long_job(self, job, service, **fields):
        """Submits a job with tasks that last, again while it is refused for the time being; fields: of its step."""
        steps = [{"count": LONG_JOB_TASKS, "cpu": 200, "mem_mb": 64, "estimate_ms": 1000, "long_running": True, **fields}]
        submitter = Client(self.site, self.ledger, 0)
        submitter.key = self.key
        self.wait(lambda: submitter.submit(service, job, "work 0", steps), RECOVERY, f"job {job} is accepted")

    def wait(self, condition, seconds, what):
        """Waits for a condition; returns whether it was reached, and records a broken rule otherwise."""
        start = self.site.now()
        while not condition():
            if self.site.now() - start > seconds:
                self.ledger.violation(f"{what}: not within {seconds:.0f} s")
                return False
            time.sleep(POLL_INTERVAL)
        return True

    def cause(self, fault, slot, *arguments):
        """Causes a fault at a slot and writes down what it hit."""
        role = "leader" if slot == self.site.leading_slot() else "follower"
        self.note(f"{fault.__name__} {self.site.slots[slot].name} ({role})")
        fault(self.site, slot, *arguments)

    def kill_all(self):
        self.note("kill_all")
        faults.kill_all(self.site)

    def cause_at_entry(self, fault, seconds):
        machine = self.random.choice(self.site.entries)
        self.note(f"{fault.__name__} {machine.name}")
        fault(self.site, machine, seconds)

    def finish(self):
        """Checks the site once it is calm, and stops everything."""
        self.operator.stop()
        if self._check_config() and self._check_new_config():
            self.wait(lambda: self.ledger.live_runs(LONG_JOB) == LONG_JOB_TASKS, FINISH,
                      "LOST: the tasks of the long-running job are at work")
        else:
            self._diagnose()
        for caller in [self.reader, *self.clients]:
            caller.stop()
        for caller in [self.operator, self.reader, *self.clients]:
            caller.thread.join()
        unfinished = self.ledger.unfinished()
        if unfinished:
            self.ledger.violation(f"LOST: {len(unfinished)} accepted jobs have not completed: {unfinished[:3]}")
        self.ledger.check_ends()
        self._report_figures()

    def _reads_newest(self, machine):
        answer = call("GET", machine.control, "/config")
        return answer.is_ok and answer.fields().get("version") == self.ledger.newest_acknowledged()

    def _check_config(self):
        controls = self.site.running_controls()
        start = self.site.now()
        reached = self.wait(lambda: all(self._reads_newest(m) for m in controls), RECOVERY,
                            "CONFIG: every control process answers with the newest acknowledged version")
        self.note(f"calm; the newest version was read everywhere after {self.site.now() - start:.2f} s: {reached}")
        return reached

    def _check_new_config(self):
        self.operator.thread.join()
        time.sleep(CONTACT)
        deadline = self.site.now() + ACK_TIMEOUT
        version = self.operator.apply(lambda: self.site.now() > deadline)
        if not version:
            self.ledger.violation(f"CONFIG: no new version was acknowledged within {ACK_TIMEOUT} s in calm")
            return False
        return self.wait(lambda: all(self._serves_route(m, version) for m in self.site.running_entries()),
                         APPLY_TIME, f"CONFIG: every entry process serves the route of version {version}")

    def _serves_route(self, machine, version):
        return call("GET", machine.address(FRONT_PORT), f"/added-{version}/", None, caller_headers(self.key)).is_ok

    def _diagnose(self):
        """Writes down whose votes may be missing: what the remaining processes say, and what brings a leader back."""
        for machine in self.site.running_controls():
            events = read_events(machine, ("leader-found", "leader-lost", "leading"))
            self.note(f"{machine.name} ({machine.ip}) log: " + (json.dumps(events[-1]) if events else "no leader yet"))
        self.kill_all()
        has_leader = self._finds_leader()
        self.note(f"after a restart of all remaining control processes: leader {has_leader}")
        for machine in [m for m in self.site.all_machines if m.state == "removed"]:
            if has_leader:
                return
            machine.power_on()
            self.site.restart(machine)
            has_leader = self._finds_leader()
            self.note(f"after the removed {machine.name} came back with its disk: leader {has_leader}")

    def _finds_leader(self):
        """Returns whether a process leads within the time to recover."""
        machines = [machine for machine in self.site.all_machines if machine.role == "control"]
        start = self.site.now()
        while self.site.now() - start < RECOVERY:
            if any(says_it_leads(machine) for machine in machines if machine.is_running):
                return True
            time.sleep(POLL_INTERVAL)
        return False

    def _report_figures(self):
        spans = self.watch.stop()[1:]  # The first one is the start.
        told = ", ".join(f"{a:.1f} to {b:.1f}" for a, b in spans if b - a > 1)
        self.notes.append(f"without a leader for {sum(b - a for a, b in spans):.1f} s in {len(spans)} spans"
                          + (f"; longer than 1 s: {told}" if told else ""))
        self.notes.append(f"longest time without a read of the configuration: {self.reader.longest_gap:.1f} s")
        self.notes.append(", ".join(f"{what} {count}" for what, count in sorted(self.ledger.counts.items())))

    def close(self):
        """Ends all stand-ins and processes, also after an error or an interrupt."""
        try:
            for caller in [self.operator, self.reader, *self.clients]:
                caller.stop()
            if self.watch:
                self.watch.is_stopping = True
                self.watch.thread.join()
            self.provider.close()
        finally:
            self.site.close()

"""Watches the processes of a site: which one leads, and whether one ends by itself."""
import json
import threading
import time

from platform_rig.sites import says_it_leads

INTERVAL = 0.1
LEADER_EVENTS = ("leader-lost", "leader-found", "leading", "log-formed", "log-joined", "storage-failed",
                 "control-found", "control-lost", "started")


class Watch:
    """A thread that measures the time without a leader."""

    def __init__(self, site, ledger):
        self.site = site
        self.ledger = ledger
        self.reported = set()
        self.without_leader_since = site.now()
        self.spans = []  # Seconds from and to which no process said that it leads.
        self.is_stopping = False
        self.thread = threading.Thread(target=self._loop, daemon=True)
        self.thread.start()

    def _loop(self):
        while not self.is_stopping:
            self._look_for_ends()
            self._look_for_leader()
            time.sleep(INTERVAL)

    def _look_for_ends(self):
        for machine in self.site.all_machines:
            if machine.has_ended_by_itself() and machine.process.pid not in self.reported:
                self.reported.add(machine.process.pid)
                self.ledger.violation(f"FAULT: {machine.name} ended by itself, code {machine.process.returncode}")

    def _look_for_leader(self):
        has_leader = any(says_it_leads(machine) for machine in self.site.running_controls())
        now = self.site.now()
        if not has_leader and self.without_leader_since is None:
            self.without_leader_since = now
        elif has_leader and self.without_leader_since is not None:
            self.spans.append((self.without_leader_since, now))
            self.without_leader_since = None

    def seconds_with_leader(self):
        """Returns for how long some process has led without a gap."""
        if self.without_leader_since is not None or not self.spans:
            return 0.0
        return self.site.now() - self.spans[-1][1]

    def stop(self):
        """Ends the watch; returns the spans without a leader, the last one up to now if it lasts."""
        self.is_stopping = True
        self.thread.join()
        if self.without_leader_since is not None:
            self.spans.append((self.without_leader_since, self.site.now()))
        return self.spans


def read_events(machine, names=LEADER_EVENTS):
    """Returns the events of a process's log that have one of the names."""
    events = []
    with open(machine.log_path, errors="replace") as log:
        for line in log:
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and event.get("event") in names:
                events.append(event)
    return events

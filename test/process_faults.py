#!/usr/bin/env python3
"""Brings about faults between real processes of a site and checks the guarantees.

usage: test/process_faults.py [--only NAME,...] [--seed N] [--report FILE]

Each scenario starts its own site, causes one fault (some cause a second one) under load and compares what
callers were told with what the runners ran. Exit code 0: every check held.
"""
import argparse
import json
import os
import random
import signal
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from fleet import Fleet, http, wait_until  # noqa: E402

SERVICE = "dispatch"
RUNNERS = [
    {"kind": "runner", "name": f"{SERVICE}-{centre}", "count": 3, "dataCentre": centre, "workMs": 3,
     "leaseMs": 1500, "labels": f"service={SERVICE},pool={SERVICE}"}
    for centre in ("cellar-a", "cellar-b", "packhouse", "homestead")
]
OBJECTS = [
    {"kind": "Service", "name": SERVICE, "selector": f"service={SERVICE}", "maxUnavailablePercent": 25},
    {"kind": "Pool", "name": SERVICE, "selector": f"pool={SERVICE}", "service": SERVICE},
    {"kind": "Service", "name": "intake", "selector": "service=intake", "maxUnavailablePercent": 25},
    {"kind": "Pool", "name": "intake", "selector": "pool=intake", "service": "intake"},
]


class Scenario:
    """A started site with load on it, and the checks that every scenario shares."""

    def __init__(self, name, seed, with_links=False):
        self.random = random.Random(seed)
        self.notes = []
        self.failures = []
        overrides = {"consensus": {"snapshotEntries": 100}}
        self.fleet = Fleet(os.path.join(ROOT, "build", "faults", name), "kromrivier", overrides, with_links)

    def start(self):
        fleet = self.fleet
        fleet.start_instances()
        fleet.wait_ready()
        path = f"{fleet.run_dir}/fleet.json"
        with open(path, "w") as out:
            json.dump(OBJECTS, out)
        fleet.cli("apply", "-f", path, "--wait")
        fleet.start_upstreams(RUNNERS)
        wait_until(lambda: fleet.status("cellar-a-1").get("instances") == 12, 15, "12 instances")

    def check(self, condition, what):
        if not condition:
            self.failures.append(what)

    def note(self, text):
        self.notes.append(text)

    def leader(self):
        for name in self.fleet.instances:
            if self.fleet.processes[name].poll() is None:
                leader = self.fleet.status(name).get("leader")
                if leader:
                    return leader
        return ""

    def label(self, instance, label, check=False, server=None):
        return self.fleet.cli("label", instance, label, check=check, server=server)

    def time_to_write(self, servers, seconds=10):
        """Returns how long it takes until a change is accepted."""
        counter = iter(range(10000))

        def accepted():
            return self.label(f"{SERVICE}-cellar-b-0", f"probe=p{next(counter)}", server=servers[0])[0] == 0
        return wait_until(accepted, seconds, "a change is accepted")

    def load(self, seconds=6, **options):
        settings = {"connections": 8, "rate": 300, "keyed_percent": 30, "resend": 3, **options}
        return self.fleet.load(f"/call/{SERVICE}/orders", wait=False, seconds=seconds, **settings)

    def finish_load(self, process, may_lose_connections):
        text = process.communicate()[0].strip()
        self.note("load: " + text)
        self.check("wrong answers 0" in text, "a caller received a wrong answer")
        self.check(may_lose_connections or "connection-error" not in text, "a request in progress was cut")
        return text

    def finish(self):
        self.fleet.shut_down()
        is_right, text = self.fleet.check_journals()
        self.note("journals: " + text)
        self.check(is_right, "the journals disagree")


def revisions(fleet):
    return {n: fleet.status(n).get("revision", -1) for n in fleet.instances}


def is_voter(status, name):
    return any(r["name"] == name and r["voter"] for r in status.get("replicas", []))


def kill_entry_instance(s):
    """kill | request path | an entry instance is killed under load and started again"""
    s.start()
    load = s.load()
    time.sleep(1.5)
    s.fleet.kill("packhouse-2")
    time.sleep(1.5)
    s.fleet.start_instance("packhouse-2")
    s.note(f"ready again after {s.fleet.wait_ready(['packhouse-2']):.2f} s")
    s.finish_load(load, may_lose_connections=True)


def kill_leader(s):
    """kill | commit, election | the leader is killed under load; writes go on within 3 s"""
    s.start()
    load = s.load()
    time.sleep(1)
    leader = s.leader()
    s.fleet.kill(leader)
    others = [s.fleet.address(n) for n in s.fleet.instances if n != leader]
    took = s.time_to_write(others)
    s.note(f"writes went on after {took:.2f} s")
    s.check(took < 3, f"writes went on only after {took:.2f} s")
    s.fleet.start_instance(leader)
    s.fleet.wait_ready([leader])
    s.finish_load(load, may_lose_connections=True)


def freeze_leader(s):
    """freeze and thaw | commit, claim, credits | the leader is frozen for 4 s; nothing runs twice afterwards"""
    s.start()
    load = s.load(seconds=9)
    time.sleep(1)
    leader = s.leader()
    s.fleet.signal(leader, signal.SIGSTOP)
    others = [s.fleet.address(n) for n in s.fleet.instances if n != leader]
    took = s.time_to_write(others)
    s.note(f"writes went on after {took:.2f} s")
    s.check(took < 3, f"writes went on only after {took:.2f} s")
    time.sleep(4)
    s.fleet.signal(leader, signal.SIGCONT)
    wait_until(lambda: len(set(revisions(s.fleet).values())) == 1, 10, "all at one revision")
    s.finish_load(load, may_lose_connections=True)


def lose_two_disks(s):
    """lost disk, second fault after a repair | election, snapshot | two voters lose their disks one after the other"""
    s.start()
    for i in range(120):
        s.label(f"{SERVICE}-packhouse-0", f"n=v{i}")
    load = s.load(seconds=8)
    before = s.fleet.status("cellar-a-1")["revision"]
    for name in ("cellar-b-1", "packhouse-1"):
        s.fleet.kill(name)
        s.fleet.lose_disk(name)
        s.fleet.start_instance(name)
        s.fleet.wait_ready([name])
        took = wait_until(lambda name=name: is_voter(s.fleet.status(s.leader()), name), 10, f"{name} votes again")
        s.note(f"{name} is a voter again {took:.2f} s after it was ready")
    s.time_to_write([s.fleet.address("homestead-1")])
    wait_until(lambda: len(set(revisions(s.fleet).values())) == 1, 10, "all at one revision")
    s.check(s.fleet.status("packhouse-1")["revision"] >= before, "a revision was lost")
    s.finish_load(load, may_lose_connections=True)


def cut_data_centre(s):
    """cut of a data centre | claim, commit, request path | homestead is cut off for 5 s and goes on serving"""
    s.start()
    inside = ["homestead-1", "homestead-2"]
    outside = [n for n in s.fleet.instances if n not in inside]
    load = s.load(seconds=9, entries=[s.fleet.address(n) for n in outside])
    time.sleep(1)
    s.fleet.links.set_between(inside, outside, False)
    time.sleep(2.5)
    served = s.fleet.load(f"/call/{SERVICE}/orders", [s.fleet.address(n) for n in inside], seconds=1,
                          connections=2, rate=50, journal="cut-repeatable")
    s.note("isolated, repeatable: " + served)
    s.check("not-run" not in served and "unknown" not in served, "the isolated data centre did not serve")
    status, headers, _ = http("POST", s.fleet.address(inside[0]), f"/call/{SERVICE}/orders", b"x",
                              {"Idempotency-Key": "cut-1", "Celeryline-Deadline-Ms": "1000"})
    s.note(f"isolated, non-repeatable: {status} {headers.get('Celeryline-Outcome')}")
    s.check(headers.get("Celeryline-Outcome") == "not-run", "an isolated claim was not refused as not-run")
    s.check(s.label(f"{SERVICE}-homestead-0", "cut=yes", server=s.fleet.address(inside[0]))[0] != 0,
            "the isolated data centre accepted a change")
    took = s.time_to_write([s.fleet.address("cellar-a-1")])
    s.note(f"the majority side accepted a change after {took:.2f} s")
    revision = s.fleet.status("cellar-a-1")["revision"]
    s.fleet.links.set_between(inside, outside, True)
    caught_up = wait_until(lambda: all(s.fleet.status(n).get("revision", 0) >= revision for n in inside), 11,
                           "the isolated data centre catches up")
    s.note(f"caught up {caught_up:.2f} s after the cut ended")
    s.finish_load(load, may_lose_connections=False)


def one_way_cut(s):
    """one-way cut | election, commit | the leader's messages no longer reach the others, theirs reach it"""
    s.start()
    leader = s.leader()
    others = [n for n in s.fleet.instances if n != leader]
    load = s.load(entries=[s.fleet.address(n) for n in others], seconds=8)
    s.fleet.links.set_one_way([leader], others, False)
    took = s.time_to_write([s.fleet.address(n) for n in others])
    s.note(f"writes went on after {took:.2f} s")
    s.check(took < 4, f"writes went on only after {took:.2f} s")
    s.fleet.links.set_one_way([leader], others, True)
    wait_until(lambda: len(set(revisions(s.fleet).values())) == 1, 10, "all at one revision")
    s.finish_load(load, may_lose_connections=False)


def silent_connections(s):
    """silent connections | commit, claim | all open connections go silent for good while new ones work"""
    s.start()
    load = s.load(seconds=8)
    time.sleep(1)
    names = list(s.fleet.instances)
    s.fleet.links.lose_connections(names, names)
    took = s.time_to_write([s.fleet.address("cellar-a-1")])
    s.note(f"writes went on after {took:.2f} s")
    s.check(took < 5, f"writes went on only after {took:.2f} s")
    s.finish_load(load, may_lose_connections=False)


def kill_runner(s):
    """kill | request path | a process with three runners is killed under load"""
    s.start()
    load = s.load()
    time.sleep(1.5)
    s.fleet.upstreams[f"{SERVICE}-cellar-a"].kill()
    s.finish_load(load, may_lose_connections=False)
    wait_until(lambda: s.fleet.status("packhouse-1").get("phases", {}).get("failed") == 3, 10, "3 failed")


def freeze_runner(s):
    """freeze | request path | a process with three runners is frozen for 3 s"""
    s.start()
    load = s.load(seconds=8)
    time.sleep(1.5)
    s.fleet.signal(f"{SERVICE}-cellar-a", signal.SIGSTOP)
    time.sleep(3)
    s.fleet.signal(f"{SERVICE}-cellar-a", signal.SIGCONT)
    s.finish_load(load, may_lose_connections=False)


def rolling_restart(s):
    """planned stop | every step | each entry instance is stopped gracefully and started again under load"""
    s.start()
    load = s.load(seconds=45)
    restarts = 0
    while load.poll() is None and restarts < 16:
        name = list(s.fleet.instances)[restarts % 8]
        s.check(s.fleet.stop(name) == 0, f"{name} did not stop cleanly")
        s.fleet.start_instance(name)
        s.fleet.wait_ready([name])
        restarts += 1
    s.note(f"{restarts} graceful restarts")
    s.finish_load(load, may_lose_connections=False)


def racing_operators(s):
    """race of operators | commit | eight operators change one object from one revision; exactly one wins"""
    s.start()
    won = []
    for round_number in range(5):
        revision = s.fleet.status("cellar-a-1")["revision"]
        wait_until(lambda: min(revisions(s.fleet).values()) >= revision, 5, "all at the revision")
        body = {"baseRevision": revision, "objects": [{**OBJECTS[2], "maxUnavailablePercent": 10 + round_number}]}
        results = []

        def send(name, body=body, results=results):
            request = json.dumps({**body, "commandId": f"race-{round_number}-{name}"}).encode()
            results.append(http("POST", s.fleet.address(name), "/v1/apply", request)[0])
        threads = [threading.Thread(target=send, args=(n,)) for n in s.fleet.instances]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won.append((results.count(200), results.count(409)))
    s.note(f"(accepted, conflict) per round: {won}")
    s.check(all(w == (1, 7) for w in won), "not exactly one operator won")


def resent_command(s):
    """lost answer | commit | a command is resent through every instance, after a restart too; it is applied once"""
    s.start()
    request = json.dumps({"commandId": "resend-1", "baseRevision": s.fleet.status("cellar-a-1")["revision"],
                          "objects": [{**OBJECTS[2], "maxUnavailablePercent": 33}]}).encode()
    answers = [http("POST", s.fleet.address(n), "/v1/apply", request) for n in s.fleet.instances]
    leader = s.leader()
    s.fleet.kill(leader)
    s.fleet.start_instance(leader)
    s.fleet.wait_ready([leader])
    answers.append(http("POST", s.fleet.address(leader), "/v1/apply", request))
    revisions_told = {json.loads(a[2]).get("revision") for a in answers}
    s.note(f"status codes {sorted({a[0] for a in answers})}, revisions told {revisions_told}")
    s.check(len(revisions_told) == 1 and {a[0] for a in answers} == {200}, "a resent command was applied again")


def wave_under_load(s):
    """planned stop of upstreams | every step of a wave | a maintenance wave over all runners under load"""
    s.start()
    load = s.load(seconds=40, rate=200)
    s.fleet.cli("wave", "start", "w1", "--selector", f"pool={SERVICE}")
    down = 0

    def is_done():
        nonlocal down
        status = s.fleet.status("cellar-a-1")
        phases = status.get("phases", {})
        down = max(down, sum(v for k, v in phases.items() if k != "serving"))
        return status.get("waves") == [] if "waves" in status else False
    took = wait_until(is_done, 35, "the wave ends")
    s.note(f"the wave ended after {took:.1f} s, at most {down} of 12 instances down at once")
    s.check(down <= 3, f"{down} instances were down, the budget allows 3")
    s.finish_load(load, may_lose_connections=False)


SCENARIOS = [kill_entry_instance, kill_leader, freeze_leader, lose_two_disks, cut_data_centre, one_way_cut,
             silent_connections, kill_runner, freeze_runner, rolling_restart, racing_operators, resent_command,
             wave_under_load]
WITH_LINKS = {"cut_data_centre", "one_way_cut", "silent_connections"}


def run(function, seed):
    scenario = Scenario(function.__name__, seed, function.__name__ in WITH_LINKS)
    start = time.monotonic()
    try:
        function(scenario)
    except (TimeoutError, RuntimeError, KeyError) as error:
        scenario.failures.append(f"{type(error).__name__}: {error}")
    finally:
        scenario.finish()
    verdict = "held" if not scenario.failures else "FAILED: " + "; ".join(scenario.failures)
    print(f"{function.__name__} (seed {seed}, {time.monotonic() - start:.0f} s): {verdict}", flush=True)
    for note in scenario.notes:
        print("   ", note, flush=True)
    fault, step, meaning = [p.strip() for p in function.__doc__.split("|")]
    return {"name": function.__name__, "fault": fault, "step": step, "meaning": meaning, "verdict": verdict,
            "notes": scenario.notes}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", default="")
    arguments = parser.parse_args()
    chosen = [f for f in SCENARIOS if not arguments.only or f.__name__ in arguments.only.split(",")]
    rows = [run(f, arguments.seed) for f in chosen]
    failed = sum(r["verdict"] != "held" for r in rows)
    if arguments.report:
        with open(arguments.report, "w") as out:
            json.dump(rows, out, indent=1)
    print(f"{len(rows) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

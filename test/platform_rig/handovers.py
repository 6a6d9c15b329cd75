"""Scenarios around a change of leader: what an earlier leader, a lost answer or a late message must not bring about."""
import json
import random
import socket
import threading
import time

from platform_rig import faults
from platform_rig.calls import call
from platform_rig.callers import SERVICES, Client
from platform_rig.faults import MARGIN, wait_for_room
from platform_rig.machines import FRONT_PORT
from platform_rig.malformed import Recorder, attack, http_message, invalid_machine_rows, peak_megabytes
from platform_rig.sites import ACK_TIMEOUT, APPLY_TIME, FINISH, RECOVERY

HANDOVERS = 3
SETTLE_TIME = 3.0  # Seconds in which each runner has reported twice.
MEMORY_LIMIT_MB = 256
RUN_LEASE = 4.0  # Seconds; the lease that a leader gives to what runs.
REPORT_DELAY = 1.5  # Seconds; with an answer that waits 0.6 s and an interval of 1 s still shorter than the lease.
PAUSED_READ_TIMEOUT = 10.0  # Seconds; longer than the pause of the process that is asked.
NEW_LEADER_TIMEOUT = 4.0  # Seconds; two rounds of election timeouts of at most 1.8 s.


def wait_for_new_leader(rig, old):
    start = rig.site.now()
    while rig.site.now() - start < NEW_LEADER_TIMEOUT:
        slot = rig.site.leading_slot()
        if slot is not None and rig.site.slots[slot] is not old:
            return True
        time.sleep(0.05)
    rig.ledger.violation(f"no other process led within {NEW_LEADER_TIMEOUT} s of the pause of {old.name}")
    return False


def read_paused(rig, machine, results):
    """Asks a paused process for the configuration; it answers once it goes on."""
    sent_at = rig.site.now()
    answer = call("GET", machine.control, "/config", timeout=PAUSED_READ_TIMEOUT)
    results.append(answer.status)
    if answer.is_ok:
        rig.ledger.on_config_read(f"{machine.name}, after its pause,", sent_at, answer.fields())


def pause_leader_once(rig):
    wait_for_room(rig.site)
    time.sleep(MARGIN)
    slot = rig.site.wait_for_leader()
    machine = rig.site.slots[slot]
    rig.note(f"pause {machine.name} (leader)")
    rig.site.begin_outage(slot)
    machine.pause()
    results = []
    if wait_for_new_leader(rig, machine) and await_new_version(rig):
        time.sleep(APPLY_TIME)
        threads = [threading.Thread(target=read_paused, args=(rig, machine, results)) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(rig.random.uniform(0.1, RUN_LEASE / 2))
        machine.resume()
        for thread in threads:
            thread.join()
    else:
        machine.resume()
    rig.site.end_outage(slot)
    rig.note(f"reads sent during the pause were answered with {sorted(results)}")


def await_new_version(rig):
    """Waits until one more version is acknowledged."""
    newest = rig.ledger.newest_acknowledged()
    start = rig.site.now()
    while rig.ledger.newest_acknowledged() == newest:
        if rig.site.now() - start > ACK_TIMEOUT + RECOVERY:
            return False
        time.sleep(0.05)
    return True


def paused_leader(rig):
    """The leader is paused past its permission to lead; once it goes on it must not answer or order by it."""
    rig.start()
    for _ in range(HANDOVERS):
        pause_leader_once(rig)
    rig.finish()


def change_leader(rig, kind):
    wait_for_room(rig.site)
    time.sleep(MARGIN)
    slot = rig.site.leading_slot()
    if slot is not None:
        rig.cause(kind, slot, 1.0)


def wave_handover(rig):
    """The leader is killed, paused or ended while machines have their upkeep: each once, one at a time."""
    rig.start()
    machines = list(rig.provider.runners)
    rig.provider.start_wave(1, machines, max_count=1, deadline=40)
    for kind in (faults.kill_and_restart, faults.pause, faults.terminate_and_restart):
        change_leader(rig, kind)
    rig.wait(lambda: rig.provider.is_wave_completed(1), RECOVERY + FINISH, "the wave is completed")
    rig.provider.check_wave(1, machines)
    rig.finish()


class ForgetfulClient(Client):
    """Loses the answer to each submission and sends the job again, also after it has completed."""

    def __init__(self, site, ledger, seed):
        super().__init__(site, ledger, seed)
        self.timers = []

    def submit(self, service, job, text, steps):
        self.ledger.on_submit(job, text, steps)
        self._send_without_reading(service, job, {"spec": text, "steps": steps})
        self.ledger.on_submit_answer(job, 0)
        if not super().submit(service, job, text, steps):
            return False
        again = threading.Timer(self.random.uniform(0, 3), super().submit, (service, job, text, steps))
        again.start()
        self.timers.append(again)
        return True

    def _loop(self):
        super()._loop()
        for timer in self.timers:
            timer.cancel()
            timer.join()

    def _send_without_reading(self, service, job, body):
        machine = self.random.choice(self.site.running_entries() or self.site.entries)
        try:
            with socket.create_connection((machine.ip, FRONT_PORT), timeout=1) as connection:
                connection.sendall(http_message("POST", f"/{service}/{job}", json.dumps(body).encode()))
                time.sleep(self.random.choice([0, 0.005, 0.05]))
        except OSError:
            pass


def lost_answers(rig):
    """Answers to submissions are lost and the jobs are sent again while leaders change; each remains one job."""
    rig.clients = [ForgetfulClient(rig.site, rig.ledger, 7000 + i) for i in range(len(rig.clients))]
    rig.start()
    for kind in (faults.kill_and_restart, faults.pause, faults.terminate_and_restart):
        change_leader(rig, kind)
    rig.finish()


def slow_reports(rig):
    """Runners that report late but within their leases keep what they run when leaders change."""
    rig.start()
    for number, service in enumerate(SERVICES * 2):
        rig.submit_long_job(f"{number + 1:016x}", service)
    for kind in (faults.kill_and_restart, faults.pause, faults.terminate_and_restart):
        change_leader(rig, kind)
    rig.finish()


def resend_old_heartbeats(rig, bodies, stopping):
    """Sends the heartbeats of runners that have ended again; their answers must order nothing."""
    choice = random.Random(rig.site.tolerance)
    while not stopping.wait(0.3):
        name, body = choice.choice(bodies)
        answer = call("PUT", choice.choice(rig.site.listed_controls()), f"/instances/{name}", body)
        started = answer.fields().get("start", [])
        rig.ledger.count("old heartbeats")
        if started and rig.watch.seconds_with_leader() > SETTLE_TIME:
            rig.ledger.violation(f"an ended life of {name} is told to start {started[0][:2]}")


def late_heartbeats(rig):
    """Heartbeats of a runner's ended life arrive late, also after all processes were killed; they count for nothing."""
    rig.start()
    bodies = [rig.provider.replace_life(machine) for machine in list(rig.provider.runners)[:2]]
    stopping = threading.Event()
    thread = threading.Thread(target=resend_old_heartbeats, args=(rig, bodies, stopping))
    time.sleep(SETTLE_TIME)
    thread.start()
    time.sleep(RUN_LEASE)
    rig.kill_all()
    time.sleep(RUN_LEASE + MARGIN)
    change_leader(rig, faults.kill_and_restart)
    time.sleep(RUN_LEASE)
    stopping.set()
    thread.join()
    rig.finish()


def malformed_messages(rig):
    """Malformed messages and unfinished connections reach each listener and RPC port; no process ends or swells.

    Invalid entries stand among those of the runners and machines; the work on the valid ones goes on.
    """
    recorder = Recorder(rig.site.add_foreign_seed())
    rig.start()
    rig.wait(lambda: recorder.recordings, SETTLE_TIME, "a message of the internal protocol is recorded")
    recorder.close()
    rig.provider.invalid_rows = invalid_machine_rows()
    machines = rig.site.slots + rig.site.entries
    attack(machines, rig.random, recorder.recordings)
    rig.note(f"{len(recorder.recordings)} recordings, {sum(map(len, recorder.recordings))} bytes")
    memory = {machine.name: peak_megabytes(machine) for machine in machines if machine.process.poll() is None}
    rig.note("peak memory in MB: " + ", ".join(f"{name} {size:.0f}" for name, size in memory.items()))
    for name, size in memory.items():
        if size > MEMORY_LIMIT_MB:
            rig.ledger.violation(f"FAULT: {name} took {size:.0f} MB of memory, its limit is {MEMORY_LIMIT_MB}")
    rig.finish()


HANDOVER_SIZES = {"slow_reports": {"report_delay": REPORT_DELAY}}
HANDOVER_SCENARIOS = [paused_leader, wave_handover, lost_answers, slow_reports, late_heartbeats, malformed_messages]

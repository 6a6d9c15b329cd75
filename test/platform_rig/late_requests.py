"""Scenarios with requests that a process which stands still passes on late: what they name may have changed."""
import threading
import time

from platform_rig import faults
from platform_rig.callers import CLIENT_TIMEOUT_MS, HOST, SERVICES
from platform_rig.calls import call
from platform_rig.faults import MARGIN, wait_for_room
from platform_rig.handovers import REPORT_DELAY
from platform_rig.sites import ACK_TIMEOUT, CANCEL_TIME

PAUSES = 3
PAUSE_FROM, PAUSE_TO = 3.0, 5.0  # Seconds for which a process stands still; any time between two heartbeats.
HELD_REQUEST_TIMEOUT = 10.0  # Seconds; longer than the pause of the process that is asked.
CALLER_PATIENCE = 0.6  # Seconds after which a caller leaves.
SPREAD = {"count": 4, "max_per_server": 3}  # On both runners of a service, each with room for a task of the other.
WORKING_TIME = 6.0  # Seconds; longer than a lease, so that a run that is taken for lost starts again.


def send_beside(method, address, path, body=None, headers=None, timeout=HELD_REQUEST_TIMEOUT):
    """Sends a request in a thread of its own."""
    thread = threading.Thread(target=call, args=(method, address, path, body, headers, timeout), daemon=True)
    thread.start()
    return thread


def pause_follower(rig):
    """Pauses a control process that doesn't lead; returns its slot."""
    wait_for_room(rig.site)
    time.sleep(MARGIN)
    leader = rig.site.leading_slot()
    slot = rig.random.choice([s for s in range(len(rig.site.slots)) if s != leader])
    rig.note(f"pause {rig.site.slots[slot].name}")
    rig.site.begin_outage(slot)
    rig.site.slots[slot].pause()
    return slot


def hold_deregistrations(rig, changes_leader):
    """Deregistrations of half the runners lie in a paused process while these start again under their ids and work."""
    slot = pause_follower(rig)
    paused = rig.site.slots[slot]
    threads = []
    for machine in list(rig.provider.runners)[:len(SERVICES)]:  # The others have room for what these run.
        threads.append(send_beside("DELETE", paused.control, f"/instances/{rig.provider.runners[machine].name}"))
        rig.provider.replace_life(machine)
    time.sleep(rig.random.uniform(PAUSE_FROM, PAUSE_TO))
    given_up = runs_given_up(rig)
    paused.resume()
    rig.site.end_outage(slot)
    for thread in threads:
        thread.join()
    if changes_leader:
        wait_for_room(rig.site)
        faults.kill_and_restart(rig.site, rig.site.wait_for_leader(), 1.0)
    time.sleep(WORKING_TIME)
    given_up = runs_given_up(rig) - given_up
    if given_up and not changes_leader:  # Leases may also lapse while there is no leader.
        rig.ledger.violation(f"{given_up} runs of runners that report were given up")


def runs_given_up(rig):
    """Returns how many runs have ended by their lease or an order; moves of machines stop runs, too."""
    counts = rig.ledger.counts
    return counts.get("ends lapsed", 0) + (0 if counts.get("moves") else counts.get("ends stopped", 0))


def late_deregistrations(rig):
    """Deregistrations of runners' ended lives arrive late; their next lives keep what they run, also under a new leader."""
    rig.start()
    for client in rig.clients:  # Ends of short tasks would make the runners report, which extends their leases.
        client.stop()
    for number, service in enumerate(SERVICES * 2):
        rig.submit_long_job(f"{number + 1:016x}", service, **SPREAD)
    for number in range(PAUSES):
        hold_deregistrations(rig, changes_leader=number == 1)
    rig.finish()


def cancel_held_submission(rig, number, kills_all):
    """A submission lies in a paused entry process while the job is cancelled elsewhere."""
    holder, other = rig.site.running_entries()[:2]
    job, path = f"{0xca0 + number:016x}", f"/{SERVICES[0]}/{0xca0 + number:016x}"
    text = "work 0"
    steps = [{"count": 2, "cpu": 100, "mem_mb": 64, "estimate_ms": 1000, "long_running": True}]
    headers = {"Host": HOST, "Timeout-Ms": str(CLIENT_TIMEOUT_MS)}
    rig.note(f"pause {holder.name}")
    holder.pause()
    rig.ledger.on_submit(job, text, steps)
    send_beside("POST", holder.front, path, {"spec": text, "steps": steps}, headers, CALLER_PATIENCE).join()
    rig.ledger.on_submit_answer(job, 0)
    if rig.wait(lambda: call("DELETE", other.front, path, None, headers).status in (200, 410), ACK_TIMEOUT,
                "the cancellation of a job that isn't known yet is acknowledged"):
        rig.ledger.on_cancelled(job)
    if kills_all:
        rig.kill_all()
    time.sleep(CANCEL_TIME + MARGIN)
    holder.resume()
    time.sleep(WORKING_TIME)
    if rig.ledger.live_runs(job):
        rig.ledger.violation(f"UNASKED: {job} runs after its cancellation was acknowledged")


def cancelled_before_submitted(rig):
    """A job is cancelled while its submission lies in a paused entry process; it never starts, also after a restart."""
    rig.start()
    for number in range(PAUSES):
        cancel_held_submission(rig, number, kills_all=number == 1)
    rig.finish()


LATE_REQUEST_SIZES = {"late_deregistrations": {"report_delay": REPORT_DELAY}}
LATE_REQUEST_SCENARIOS = [late_deregistrations, cancelled_before_submitted]

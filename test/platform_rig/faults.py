"""Faults at control machines. Each one ends when the slot has a running process again."""
import time

from platform_rig.sites import GRACE

SUCCESSOR_DELAY = 1.0  # Seconds from a removal to the start of the successor.
SILENT_BEFORE_KILL = 3.0  # Seconds for which a machine that loses its power keeps its connections without a reset.
KILL_ALL_PAUSE = 0.5  # Seconds until all killed processes start again.
MARGIN = 0.2  # Seconds that are added where the next fault may come.


def kill_and_restart(site, slot, seconds):
    machine = site.slots[slot]
    site.begin_outage(slot)
    machine.kill()
    time.sleep(seconds)
    site.restart(machine)
    site.end_outage(slot)


def pause(site, slot, seconds):
    machine = site.slots[slot]
    site.begin_outage(slot)
    machine.pause()
    time.sleep(seconds)
    machine.resume()
    site.end_outage(slot)


def lose_disk(site, slot, seconds):
    """Restarts a machine at its old address with an empty disk."""
    machine = site.slots[slot]
    site.begin_outage(slot)
    machine.kill()
    machine.lose_disk()
    time.sleep(seconds)
    site.restart(machine)
    site.end_outage(slot)


def terminate_and_restart(site, slot, seconds):
    machine = site.slots[slot]
    site.begin_outage(slot)
    machine.terminate(GRACE)
    time.sleep(seconds)
    site.restart(machine)
    site.end_outage(slot)


def replace_killed(site, slot, seconds=SUCCESSOR_DELAY):
    machine = site.slots[slot]
    site.begin_outage(slot)
    machine.kill(state="removed")
    time.sleep(seconds)
    site.start_successor(slot)
    site.end_outage(slot)


def replace_silent(site, slot, seconds=SUCCESSOR_DELAY):
    """Removes a machine as if it lost its power: connections go silent, later attempts get no answer."""
    machine = site.slots[slot]
    site.begin_outage(slot)
    machine.cut_power(SILENT_BEFORE_KILL)
    time.sleep(seconds)
    site.start_successor(slot)
    site.end_outage(slot)


def replace_planned(site, slot, seconds=SUCCESSOR_DELAY):
    """Starts the successor first and then ends the old process gracefully."""
    machine = site.slots[slot]
    site.begin_outage(slot)
    site.start_successor(slot)
    site.end_outage(slot)
    time.sleep(seconds)
    machine.terminate(GRACE, state="removed")


def kill_all(site):
    """Kills all running control processes at once and starts them again; their disks are kept."""
    slots = [slot for slot, machine in enumerate(site.slots) if machine.is_running]
    machines = [site.slots[slot] for slot in slots]
    for slot, machine in zip(slots, machines):
        site.begin_outage(slot)
        machine.state = "down"
        machine.process.kill()
    for machine in machines:
        machine.process.wait()
    time.sleep(KILL_ALL_PAUSE)
    for slot, machine in zip(slots, machines):
        site.restart(machine)
        site.end_outage(slot)


def restart_entry(site, machine, seconds):
    machine.kill()
    time.sleep(seconds)
    site.restart(machine)


def pause_entry(site, machine, seconds):
    machine.pause()
    time.sleep(seconds)
    machine.resume()


def wait_for_room(site):
    """Waits until one more machine with a disk may be lost."""
    while len(site.lost_slots()) >= site.tolerance:
        time.sleep(0.02)


def choose_slot(site, random, wants_leader):
    """Returns a slot that doesn't count as lost: the leader's, or that of a follower."""
    lost = site.lost_slots()
    free = [slot for slot, machine in enumerate(site.slots) if slot not in lost and machine.is_running]
    leader = site.leading_slot()
    if wants_leader and leader in free:
        return leader
    return random.choice([slot for slot in free if slot != leader] or free)

"""The scenarios: which faults come in which order."""
import json
import threading
import time
import traceback

from platform_rig import faults
from platform_rig.crowds import CROWD_SCENARIOS, CROWD_SIZES
from platform_rig.faults import MARGIN, choose_slot, wait_for_room
from platform_rig.handovers import HANDOVER_SCENARIOS, HANDOVER_SIZES
from platform_rig.keys import KEY_SCENARIOS
from platform_rig.late_requests import LATE_REQUEST_SCENARIOS, LATE_REQUEST_SIZES
from platform_rig.provider import Provider
from platform_rig.rig import Rig

REPLACEMENTS = 3
MIXED_FAULTS = 10
RUNNER_KINDS = [Provider.restart_runner, Provider.drain_runner]
MIXED_KINDS = [faults.replace_killed] * 3 + [faults.replace_silent] * 3 + [faults.replace_planned] + [
    faults.kill_and_restart, faults.kill_and_restart, faults.pause, faults.pause, faults.lose_disk, faults.lose_disk,
    faults.terminate_and_restart, faults.kill_all, faults.restart_entry, faults.pause_entry, *RUNNER_KINDS]
SECONDS_OF = {faults.kill_and_restart: (0.3, 4), faults.pause: (0.5, 6), faults.lose_disk: (0.3, 2),
              faults.terminate_and_restart: (0.3, 1)}
PAUSE_FOR_VOTERS = 10.5  # Seconds; more than the 8 s after which a voter is replaced, counted from an election.


def replace_series(rig, removals, kills_all=False, pause=0.0):
    """Replaces a follower, then the leader and the leader again, as early as the settings allow."""
    for number, removal in enumerate(removals):
        wait_for_room(rig.site)
        time.sleep(max(MARGIN, pause if number else 0.0))
        slot = choose_slot(rig.site, rig.random, wants_leader=number > 0)
        rig.cause(removal, slot)
        if kills_all and number + 1 < len(removals):
            time.sleep(rig.random.uniform(0.5, 5))
            rig.kill_all()


def replacement_series(rig):
    """Control machines are killed and replaced one after the other, as early as the settings allow."""
    rig.start()
    replace_series(rig, [faults.replace_killed] * REPLACEMENTS)
    rig.finish()


def replacement_series_silent(rig):
    """The same with machines that lose their power: no connection is reset."""
    rig.start()
    replace_series(rig, [faults.replace_silent] * REPLACEMENTS)
    rig.finish()


def replacement_series_kill_all(rig):
    """The same, and all control processes are killed between two removals."""
    rig.start()
    replace_series(rig, [faults.replace_killed] * REPLACEMENTS, kills_all=True)
    rig.finish()


def replacement_series_planned(rig):
    """The same with successors that start first and processes that end gracefully."""
    rig.start()
    replace_series(rig, [faults.replace_planned] * REPLACEMENTS)
    rig.finish()


def replacement_series_four(rig):
    """The same as replacement_series with four control machines, one of which may be lost."""
    replacement_series(rig)


def replacement_series_eight(rig):
    """The same with eight control machines, two of which may be lost: leaders and followers overlap."""
    rig.start()
    threads = [cause_beside(rig, faults.replace_killed, wants_leader=number % 2 == 0)
               for number in range(2 * REPLACEMENTS)]
    join_all(threads)
    rig.finish()


def replacement_series_paused(rig):
    """The same as replacement_series with more than 10 s more between two removals."""
    rig.start()
    replace_series(rig, [faults.replace_killed] * REPLACEMENTS, pause=PAUSE_FOR_VOTERS)
    rig.finish()


def replacement_series_silent_paused(rig):
    """The same as replacement_series_silent with more than 10 s more between two removals."""
    rig.start()
    replace_series(rig, [faults.replace_silent] * REPLACEMENTS, pause=PAUSE_FOR_VOTERS)
    rig.finish()


def mixed_series(rig):
    """Causes a random series of faults; those at control machines overlap as far as the tolerance allows."""
    threads = []
    for _ in range(MIXED_FAULTS):
        kind = rig.random.choice(MIXED_KINDS)
        if kind == faults.kill_all:
            join_all(threads)
            rig.kill_all()
        elif kind in RUNNER_KINDS:
            rig.note(kind.__name__)
            kind(rig.provider, rig.random)
        elif kind in (faults.restart_entry, faults.pause_entry):
            rig.cause_at_entry(kind, rig.random.uniform(0.2, 2))
        else:
            threads.append(cause_beside(rig, kind, wants_leader=rig.random.random() < 0.5))
        time.sleep(rig.random.choice([0, 0.1, 1, 3]))
    join_all(threads)


def cause_beside(rig, kind, wants_leader):
    """Causes a fault at a control machine in a thread of its own, as soon as one more may be lost."""
    wait_for_room(rig.site)
    time.sleep(MARGIN)
    slot = choose_slot(rig.site, rig.random, wants_leader)
    seconds = rig.random.uniform(*SECONDS_OF.get(kind, (faults.SUCCESSOR_DELAY, faults.SUCCESSOR_DELAY)))
    rig.site.begin_outage(slot)
    thread = threading.Thread(target=cause_and_report, args=(rig, kind, slot, seconds), daemon=True)
    thread.start()
    return thread


def cause_and_report(rig, kind, slot, seconds):
    """Causes a fault; an error of the rig itself fails the run instead of ending a thread silently."""
    try:
        rig.cause(kind, slot, seconds)
    except Exception as error:
        rig.ledger.violation(f"{kind.__name__}: {type(error).__name__}: {error}")


def join_all(threads):
    for thread in threads:
        thread.join()


def mixed(rig):
    """Random overlapping faults with three control machines, one of which may be lost."""
    rig.start()
    mixed_series(rig)
    rig.finish()


def mixed_four(rig):
    """Random overlapping faults with four control machines, one of which may be lost."""
    mixed(rig)


def mixed_eight(rig):
    """Random overlapping faults with eight control machines, two of which may be lost."""
    mixed(rig)


SCENARIOS = [replacement_series, replacement_series_silent, replacement_series_kill_all, replacement_series_planned,
             replacement_series_four, replacement_series_eight, replacement_series_paused,
             replacement_series_silent_paused, mixed, mixed_four, mixed_eight, *HANDOVER_SCENARIOS,
             *LATE_REQUEST_SCENARIOS, *KEY_SCENARIOS, *CROWD_SCENARIOS]
FOUR = {"controls": 4}
EIGHT = {"controls": 8, "tolerance": 2, "entries": 3}
SIZES = {"replacement_series_four": FOUR, "mixed_four": FOUR, "replacement_series_eight": EIGHT, "mixed_eight": EIGHT,
         **HANDOVER_SIZES, **LATE_REQUEST_SIZES, **CROWD_SIZES}


def run(function, seed):
    """Runs a scenario; returns its row of the report."""
    name = function.__name__
    rig = Rig(name, seed, **SIZES.get(name, {}))
    try:
        function(rig)
    except Exception as error:  # A fault of the rig is a failure too; the processes end in any case.
        rig.ledger.violation(f"{type(error).__name__}: {error}")
        rig.notes.append(traceback.format_exc())
    finally:
        rig.close()
    violations = rig.ledger.violations
    row = {"name": name, "seed": seed, "seconds": rig.site.now(), "verdict": "FAILED" if violations else "held",
           "violations": violations, "notes": rig.notes}
    with open(f"{rig.site.run_dir}/report.json", "w") as out:
        json.dump(row, out, indent=1)
    return row

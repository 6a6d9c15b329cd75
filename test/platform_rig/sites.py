"""A site: its machines, their settings as the platform writes them, and which machines count as lost."""
import itertools
import json
import os
import random
import shutil
import socket
import threading
import time

from platform_rig.calls import call
from platform_rig.machines import BUILD, CONTROL_PORT, FIRST_RPC_PORT, LAST_RPC_PORT, METRICS_PORT, READY_PORT, Machine

ZONES = ("milano-a", "torino-b", "verona-c", "trento-d")
SEED_COUNT = 3
SEED_LAG = 3.0  # Seconds by which the list of control machines that callers and seeds come from is late.
CATCH_UP = 4.0  # Seconds after its start for which a machine still counts as lost.
GRACE = 6.0  # Seconds between SIGTERM and SIGKILL.
APPLY_TIME = 2.0  # Seconds after its acknowledgement from which a configuration must be read.
RECOVERY = 12.0  # Seconds after which a calm site serves again.
FINISH = 14.0  # Seconds after the end of the traffic in which jobs complete.
CANCEL_TIME = 3.0  # Seconds after the acknowledged cancellation of a job without a further start.
CONTACT = 3.0  # Seconds after the last fault from which the rules on calm sites hold.
ACK_TIMEOUT = 4.0  # Seconds in which a calm site acknowledges a configuration.
DRAIN_TIME = 2.0  # Seconds after the acknowledgement from which a runner that leaves gets no task.
STOP_TIME = 0.4  # Seconds that stopping a task takes at most.
MAX_LEASE = 10.0  # Seconds to which runners shorten their leases.
MACHINE_LEASE = 3.0  # Seconds before the orders of another holder are obeyed for a machine.

BOUNDS = {
    "seed_lag_s": SEED_LAG, "addr_reuse_s": 2, "contact_ms": int(CONTACT * 1000), "ack_timeout_ms": int(ACK_TIMEOUT * 1000),
    "catchup_s": CATCH_UP, "drain_ms": int(DRAIN_TIME * 1000), "grace_s": GRACE, "loss_slack_ms": 200,
    "config_apply_ms": int(APPLY_TIME * 1000), "recovery_s": RECOVERY, "max_hold_ms": int(MAX_LEASE * 1000),
    "stop_ms": int(STOP_TIME * 1000), "gang_timeout_ms": 3000, "cancel_ms": int(CANCEL_TIME * 1000),
    "visible_ms": 3000, "finish_s": FINISH, "status_s": 120, "move_s": 1.5, "upkeep_s": 2,
    "enforce_fencing": False, "lease_ms": int(MACHINE_LEASE * 1000), "pace_ms": 100, "harm_ms": 4000,
}
BLOCKS = range(16, 240)  # Second numbers of the addresses 127.BLOCK.x.y.
LOCK_PORT = 8620
first_blocks = itertools.count(os.getpid())


def claim_block():
    """Returns a block of addresses that no other run uses, and the socket that claims it."""
    first = next(first_blocks)  # The addresses of the last run may still have connections.
    for i in range(len(BLOCKS)):
        block = BLOCKS[(first + i) % len(BLOCKS)]
        claim = socket.socket()
        try:
            claim.bind((f"127.{block}.1.249", LOCK_PORT))
            return block, claim
        except OSError:
            claim.close()
    raise RuntimeError("all blocks of loopback addresses are in use")


class Site:
    """The machines of a run. A slot is the position of a control machine; a replacement takes over its slot."""

    def __init__(self, name, seed, controls=3, entries=2, tolerance=1, request_limits=None):
        self.random = random.Random(seed)
        self.tolerance = tolerance
        self.request_limits = request_limits
        self.run_dir = os.path.join(BUILD, "platform-faults", f"{name}-{seed}")
        shutil.rmtree(self.run_dir, ignore_errors=True)
        os.makedirs(self.run_dir)
        self.block, self.claim = claim_block()
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.next_host = 1
        self.all_machines = []
        self.control_history = []
        self.away_since = {}
        self.back_at = {}
        self.foreign_seeds = []
        self.provider_address = self._address(250)
        self.slots = [self._add_machine("control", i) for i in range(controls)]
        self.entries = [self._add_machine("entry", i) for i in range(entries)]

    def now(self):
        """Returns the seconds since the beginning of the run."""
        return time.monotonic() - self.started_at

    def _address(self, host):
        return f"127.{self.block}.1.{host}:8621"

    def add_foreign_seed(self):
        """Names one more seed at the first start, at which no process of the site runs; returns its IP address."""
        ip = f"127.{self.block}.1.251"
        self.foreign_seeds.append(f"{ip}:{CONTROL_PORT}")
        return ip

    def _add_machine(self, role, position):
        zone = ZONES[position % len(ZONES)]
        ip = f"127.{self.block}.{position + 1}.{self.next_host}"
        machine = Machine(f"{role}-{position}-{self.next_host}", ip, role, zone, self.run_dir)
        self.next_host += 1
        self.all_machines.append(machine)
        return machine

    def _write_settings(self, machine, seeds, is_first_start):
        is_control = machine.role == "control"
        listen = {"control": machine.control} if is_control else {
            "front": machine.front, "ready": machine.address(READY_PORT)}
        settings = {
            "node": machine.name, "role": machine.role, "machine_class": "core" if is_control else "edge",
            "serves": ["control" if is_control else "edge"], "ip": machine.ip, "zone": machine.zone,
            "region": "nord", "zones": {zone: "nord" for zone in ZONES}, "listen": listen,
            "internal_port_range": [FIRST_RPC_PORT, LAST_RPC_PORT], "seeds": seeds,
            "bootstrap": is_first_start, "in_tolerance": is_control, "limits": {"memory_mb": 256},
            "data_dir": machine.data_dir if is_control else None, "discovery": "registry",
            "heartbeat_ms": 1500, "contracts": ["base", "drain", "config", "recover", "sched", "upkeep"],
            "fault_tolerance": {"machines": self.tolerance, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "config_mode": "highest", "orders": "heartbeat",
            "cloud_api": {"addr": self.provider_address, "rate_per_s": 64.0, "duties": [], "duty_per_s": 64.0},
        }
        if self.request_limits:
            settings["request_limits"] = self.request_limits
        with open(machine.settings_path, "w") as out:
            json.dump(settings, out, indent=1)

    def start(self):
        """Starts all machines for the first time."""
        seeds = [machine.control for machine in self.slots[:SEED_COUNT]] + self.foreign_seeds
        self._note_controls()
        for machine in self.slots + self.entries:
            self._write_settings(machine, seeds, is_first_start=True)
            machine.start()

    def restart(self, machine):
        """Starts a machine again with the settings that are in force now."""
        self._write_settings(machine, self.current_seeds(), is_first_start=False)
        machine.start()

    def start_successor(self, slot, seeds=None):
        """Starts an empty machine at a new address that takes over a slot."""
        with self.lock:
            machine = self._add_machine("control", slot)
        self._write_settings(machine, seeds or self.current_seeds(), is_first_start=False)
        machine.start()
        self.slots[slot] = machine
        self._note_controls()
        return machine

    def _note_controls(self):
        self.control_history.append((self.now(), [machine.control for machine in self.slots]))

    def listed_controls(self):
        """Returns the control addresses as the operator's late list names them."""
        limit = self.now() - SEED_LAG
        known = [addresses for at, addresses in self.control_history if at <= limit]
        return known[-1] if known else self.control_history[0][1]

    def current_seeds(self):
        """Returns the seeds that the platform writes now: control machines of its late list."""
        listed = self.listed_controls()
        return self.random.sample(listed, min(SEED_COUNT, len(listed)))

    def begin_outage(self, slot):
        with self.lock:
            self.away_since[slot] = self.now()
            self.back_at.pop(slot, None)

    def end_outage(self, slot):
        with self.lock:
            self.back_at[slot] = self.now()

    def lost_slots(self):
        """Returns the slots that count as lost: those away, and those back for less than the time to catch up."""
        now = self.now()
        with self.lock:
            return {slot for slot in self.away_since
                    if slot not in self.back_at or now < self.back_at[slot] + CATCH_UP}

    def running_controls(self):
        return [machine for machine in self.slots if machine.is_running]

    def running_entries(self):
        return [machine for machine in self.entries if machine.is_running]

    def leading_slot(self):
        """Returns the slot of a process that says that it leads, or None."""
        for slot, machine in enumerate(self.slots):
            if machine.is_running and says_it_leads(machine):
                return slot
        return None

    def wait_for_leader(self, seconds=RECOVERY):
        """Returns the slot of a process that says that it leads."""
        start = self.now()
        while self.now() - start < seconds:
            slot = self.leading_slot()
            if slot is not None:
                return slot
            time.sleep(0.05)
        raise TimeoutError(f"no process led within {seconds} s")

    def close(self):
        for machine in self.all_machines:
            machine.close()
        self.claim.close()


def says_it_leads(machine):
    answer = call("GET", machine.address(METRICS_PORT), "/metrics", timeout=0.3)
    return b"\nceleryline_leading 1" in answer.text

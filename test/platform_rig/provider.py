"""Stand-in machine provider: lists the machines of the runners, moves them and gives them their upkeep."""
import json
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from platform_rig.calls import call
from platform_rig.runners import CAPACITY, RETRY_DELAY, Runner
from platform_rig.sites import BOUNDS, MACHINE_LEASE


# The states of a machine here, and those that the list of machines has for them.
STATES = {"up": "up", "leaving": "up", "moving": "moving", "upkeep": "upkeep"}


class ProviderServer(ThreadingHTTPServer):
    """A server whose callers may be killed at any time."""
    daemon_threads = True

    def handle_error(self, request, client_address):
        pass  # A killed caller resets its connection.


@dataclass(frozen=True)
class MachineOrder:
    """Who ordered something for a machine, and when."""
    at: float
    holder: str
    fence: int


class Provider:
    """Holds the runners; a move or an upkeep ends one and starts its next life."""

    def __init__(self, site, ledger):
        self.site = site
        self.ledger = ledger
        self.lock = threading.Lock()
        self.runners = {}
        self.states = {}
        self.waves = {}  # Machine to the waves for which its upkeep has begun.
        self.wave_limits = {}
        self.orders = {}  # Machine to its newest order.
        self.lives = 0
        self.invalid_rows = []  # Listed beside the machines.
        host, port = site.provider_address.split(":")
        self.server = ProviderServer((host, int(port)), self._handler_class())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def add_runner(self, service, **options):
        with self.lock:
            self.lives += 1
            runner = Runner(self.site, self.ledger, f"i-{self.lives}", service, **options)
            self.runners[runner.machine] = runner
            self.states[runner.machine] = "up"
            return runner

    def list_machines(self):
        with self.lock:
            return self.invalid_rows + [{"machine": name, "pool": runner.service, "state": STATES[self.states[name]], "zone": "milano-a",
                     "labels": ["a", "r1"], "capacity": CAPACITY, "id": runner.name}
                    for name, runner in self.runners.items()]

    def order(self, path, fields, holder, fence):
        """Carries out a move or an upkeep; returns the status and the body of the answer."""
        name = fields.get("machine")
        with self.lock:
            if name not in self.runners:
                return 400, {}
            self._check_holder(name, holder, fence)
            if path == "/machine-move" and self.runners[name].service == fields["pool"]:
                return 200, {}
            if path == "/machine-upkeep" and fields["wave"] in self.waves.get(name, []):
                return 200, {}
            if self.states[name] != "up":
                return 409, {"reason": "busy"}
            is_move = path == "/machine-move"
            self.states[name] = "moving" if is_move else "upkeep"
            service = fields["pool"] if is_move else self.runners[name].service
            if not is_move:
                self.waves.setdefault(name, []).append(fields["wave"])
                self._check_wave_limit(fields["wave"])
        self.ledger.count("moves" if is_move else "upkeeps")
        self.runners[name].kill()
        duration = BOUNDS["move_s" if is_move else "upkeep_s"]
        threading.Timer(duration, self._start_next_life, (name, service)).start()
        return 200, {}

    def _check_holder(self, name, holder, fence):
        now = self.site.now()
        if name in self.orders:
            last = self.orders[name]
            if fence < last.fence:
                self.ledger.violation(f"ONE: {holder} orders {name} with fence {fence} after {last.fence}")
            elif fence == last.fence and holder != last.holder:
                self.ledger.violation(f"ONE: {holder} and {last.holder} order {name} with fence {fence}")
            elif holder != last.holder and now - last.at < MACHINE_LEASE:
                self.ledger.violation(f"ONE: {holder} orders {name} {now - last.at:.2f} s after {last.holder}")
        self.orders[name] = MachineOrder(now, holder, fence)

    def _check_wave_limit(self, wave):
        down = sum(self.states[m] == "upkeep" and waves[-1] == wave for m, waves in self.waves.items())
        if down > self.wave_limits.get(wave, 0):
            self.ledger.violation(f"LIMIT: {down} machines of wave {wave} have their upkeep at once")

    def start_wave(self, wave, machines, max_count, deadline):
        """Asks for the upkeep of machines; sent again until it is acknowledged."""
        self.wave_limits[wave] = max_count
        order = {"wave": wave, "machines": machines, "deadline_s": deadline, "max_count": max_count}
        while not call("POST", self._control(), "/wave-start", order).is_ok:
            time.sleep(RETRY_DELAY)

    def is_wave_completed(self, wave):
        return call("GET", self._control(), f"/wave-get/{wave}").fields().get("state") == "completed"

    def check_wave(self, wave, machines):
        for machine in machines:
            if wave not in self.waves.get(machine, []):
                self.ledger.violation(f"MIXED: wave {wave} is completed, {machine} has had no upkeep")

    def _control(self):
        return self.site.random.choice(self.site.listed_controls())

    def replace_life(self, machine):
        """Starts a runner again under its id; returns the id and the last heartbeat of the ended life."""
        with self.lock:
            old = self.runners[machine]
            old.kill()
            self.runners[machine] = Runner(self.site, self.ledger, old.name, old.service, machine=machine,
                                           report_delay=old.report_delay)
            return old.name, old.last_body

    def restart_runner(self, random):
        """Ends a runner without a word and starts it again under its id."""
        machines = self._machines_up()
        if machines:
            self.replace_life(random.choice(machines))

    def drain_runner(self, random):
        """Lets a runner leave; its machine starts a runner with another id afterwards."""
        machines = self._machines_up()
        if not machines:
            return
        machine = random.choice(machines)
        self.states[machine] = "leaving"
        threading.Thread(target=self._drain, args=(machine,), daemon=True).start()

    def _drain(self, machine):
        runner = self.runners[machine]
        runner.leave()
        self._start_next_life(machine, runner.service)

    def _machines_up(self):
        with self.lock:
            return [machine for machine, state in self.states.items() if state == "up"]

    def _start_next_life(self, machine, service):
        with self.lock:
            if self.server is None:
                return
            self.lives += 1
            runner = Runner(self.site, self.ledger, f"i-{self.lives}", service, machine=machine)
            self.runners[machine] = runner
            self.states[machine] = "up"

    def _handler_class(provider):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *unused):
                pass

            def _respond(self, status, fields):
                text = json.dumps(fields).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def do_GET(self):
                self._respond(200, {"machines": provider.list_machines(), "next_token": ""})

            def do_POST(self):
                fields = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                holder = self.headers.get("Lease-Holder", "")
                fence = int(self.headers.get("Fence-Token", 0))
                self._respond(*provider.order(self.path, fields, holder, fence))
        return Handler

    def close(self):
        with self.lock:
            server, self.server = self.server, None
        server.shutdown()
        server.server_close()
        for runner in self.runners.values():
            runner.kill()

"""Machines of the rig: loopback addresses, each with one process of celeryline-platform."""
import os
import shutil
import signal
import socket
import subprocess
import threading
import time

from platform_rig.calls import ROOT

BUILD = os.path.join(ROOT, os.environ.get("CELERYLINE_BUILD", "build"))
BINARY = os.path.join(BUILD, "celeryline-platform")
CONTROL_PORT = 8623
FRONT_PORT = 8624
READY_PORT = 8622
METRICS_PORT = 9464
FIRST_RPC_PORT = 7060
LAST_RPC_PORT = 7075
ROLE_PORTS = {
    "control": (CONTROL_PORT, FIRST_RPC_PORT, METRICS_PORT),
    "entry": (FRONT_PORT, READY_PORT, METRICS_PORT),
}


class UnpoweredPorts:
    """Listeners with full accept queues: connection attempts get no answer, as from a machine without power."""

    FILL_TIMEOUT = 0.05  # Seconds after which a connection attempt counts as dropped.
    BIND_ATTEMPTS = 100

    def __init__(self, ip, ports):
        self.sockets = []
        for port in ports:
            self._listen(ip, port)

    def _listen(self, ip, port):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for _ in range(self.BIND_ATTEMPTS):
            try:
                listener.bind((ip, port))
                break
            except OSError:
                time.sleep(0.01)
        listener.listen(0)
        self.sockets.append(listener)
        while self._connect(ip, port):
            pass

    def _connect(self, ip, port):
        """Puts one more connection into the accept queue; returns whether there was room."""
        client = socket.socket()
        client.settimeout(self.FILL_TIMEOUT)
        self.sockets.append(client)
        try:
            client.connect((ip, port))
            return True
        except OSError:
            return False

    def close(self):
        for each in self.sockets:
            each.close()


class Machine:
    """One machine. Its state is running, paused, down or removed."""

    def __init__(self, name, ip, role, zone, run_dir):
        self.name = name
        self.ip = ip
        self.role = role
        self.zone = zone
        self.settings_path = f"{run_dir}/{name}.json"
        self.log_path = f"{run_dir}/{name}.log"
        self.data_dir = f"{run_dir}/{name}.disk"
        self.state = "down"
        self.process = None
        self.unpowered = None
        self.power_cut = None

    def address(self, port):
        return f"{self.ip}:{port}"

    @property
    def control(self):
        return self.address(CONTROL_PORT)

    @property
    def front(self):
        return self.address(FRONT_PORT)

    @property
    def is_running(self):
        return self.state == "running"

    def start(self):
        if self.role == "control":
            os.makedirs(self.data_dir, exist_ok=True)
        environment = {**os.environ, "CELERYLINE_NODE_FILE": self.settings_path}
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen([BINARY, self.role], env=environment, cwd=ROOT,
                                            stdout=log, stderr=subprocess.STDOUT)
        self.state = "running"

    def kill(self, state="down"):
        """Ends the process without notice; a paused one too."""
        self.state = state
        self.process.kill()
        self.process.wait()

    def terminate(self, grace, state="down"):
        """Asks the process to end; returns whether it did within its grace period."""
        self.state = state
        self.process.terminate()
        try:
            self.process.wait(timeout=grace)
            return True
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return False

    def pause(self, state="paused"):
        self.state = state
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)
        self.state = "running"

    def cut_power(self, seconds):
        """Removes a machine for good without a reset: it is paused now and loses its power some seconds later."""
        self.pause(state="removed")
        self.power_cut = threading.Timer(seconds, self._end_without_power)
        self.power_cut.start()

    def _end_without_power(self):
        self.kill(state="removed")
        self.unpowered = UnpoweredPorts(self.ip, ROLE_PORTS[self.role])

    def power_on(self):
        """Frees the addresses of a machine without power."""
        if self.unpowered:
            self.unpowered.close()

    def lose_disk(self):
        shutil.rmtree(self.data_dir, ignore_errors=True)

    def has_ended_by_itself(self):
        return self.is_running and self.process.poll() is not None

    def close(self):
        if self.power_cut:
            self.power_cut.cancel()
            self.power_cut.join()
        if self.process and self.process.poll() is None:
            self.kill()
        if self.unpowered:
            self.unpowered.close()

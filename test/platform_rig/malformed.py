"""Malformed messages to the listeners and the internal RPC port of a machine."""
import json
import socket
import struct
import threading
import time

from platform_rig.machines import CONTROL_PORT, FIRST_RPC_PORT, FRONT_PORT, METRICS_PORT, READY_PORT

SEND_TIMEOUT = 0.2  # Seconds.
HALF_OPEN_CONNECTIONS = 40  # For each port; each one is kept with an unfinished message.
CHANGED_MESSAGES = 50  # For each RPC port.
HUGE_LENGTH = 1 << 40
LARGE_BODY = 8 << 20
DEEP_NESTING = 100_000
MAX_WORD = 0xFFFFFFFF
MAX_INTEGER = (1 << 63) - 1
HTTP_PORTS = {"control": (CONTROL_PORT, METRICS_PORT), "entry": (FRONT_PORT, READY_PORT, METRICS_PORT)}


def http_message(method, path, body, length=None):
    length = len(body) if length is None else length
    return f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: {length}\r\n\r\n".encode() + body


def invalid_heartbeats():
    """Returns heartbeats with one invalid field each; they name no runner."""
    valid = {"service": "quotes", "addr": "127.0.0.1:9", "zone": "milano-a", "version": "v1", "slots": 8, "state": "ready",
             "cold_left_ms": 0, "born": int(time.time() * 1000), "seq": 1, "labels": ["a", "r1"],
             "capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0}}
    changes = [("addr", address) for address in ("127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1", ":9", "unix:/x",
                                             "1" * 3000 + ":9", "127.0.0.1\n:9", 7, None)]
    changes += [("born", MAX_INTEGER), ("born", -1), ("born", "now"), ("seq", MAX_INTEGER), ("seq", -1), ("slots", "8"),
            ("slots", 1 << 64), ("zone", None), ("version", 1), ("state", "asleep"), ("labels", "a"), ("labels", [[]]),
            ("capacity", {"cpu": MAX_INTEGER}), ("capacity", [])]
    bodies = [json.dumps({**valid, field: value}).encode() for field, value in changes]
    bodies += [json.dumps({**valid, field: "?"}).encode().replace(b'"?"', value)
               for field in ("slots", "seq", "labels") for value in (b"1e999", b"[" * DEEP_NESTING + b"]" * DEEP_NESTING)]
    return bodies


def invalid_machine_rows():
    """Returns rows that another writer may have left in the provider's list of machines."""
    valid = {"pool": "quotes", "state": "up", "zone": "milano-a", "labels": ["a", "r1"], "id": "i-invalid",
             "capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0}}
    return [None, 7, [], {}, {"machine": 7}, {"machine": ""}, *[
        {**valid, "machine": f"m-invalid-{number}", **changed} for number, changed in enumerate([
            {"capacity": {"cpu": -1}}, {"capacity": {"cpu": 1 << 64}}, {"capacity": {"cpu": "4000"}}, {"labels": "a"},
            {"pool": 7}, {"state": []}, {"id": 1.5}])]]


def http_messages(random):
    """Returns messages that a listener for HTTP must refuse or ignore."""
    paths = ["/config", "/instances/i-malformed", "/wave-start", "/quotes/00000000000000aa"]
    bodies = [
        b"", b"{", b"null", b"[]", b"{}", random.randbytes(2000), b'{"version":1e400,"routes":[],"services":[]}',
        b'{"version":-1,"routes":[],"services":[]}', b'{"version":"7","routes":{},"services":[]}',
        b"[" * DEEP_NESTING, b'{"a":' * DEEP_NESTING, b'{"spec":"' + b"x" * LARGE_BODY + b'","steps":[]}',
        b'{"spec":"x","steps":[{"count":4294967296,"cpu":-1,"mem_mb":9223372036854775807}]}',
        b'{"service":"quotes","addr":"a","born":1,"seq":1,"state":"ready","capacity":{},"running":[["x",1]]}',
        b'{"service":"quotes","addr":"a","born":1,"seq":1,"state":"ready","capacity":{"cpu":1},'
        b'"ended":[[-1,"00000000000000aa.0.0.0",1,"done",""]]}',
    ]
    # Also under the id of a running runner.
    heartbeats = [http_message("PUT", f"/instances/{runner}", body)
                  for runner in ("i-malformed", "i-1") for body in invalid_heartbeats()]
    messages = heartbeats + [http_message("POST" if path[1] in "qw" else "PUT", path, body) for path in paths for body in bodies]
    messages += [http_message("PUT", "/config", b"{}", HUGE_LENGTH), http_message("PUT", "/config", b"{}", -1),
                 b"PUT /config HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
                 b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n", b"GET / HTTP/1.1\r\nA: " + b"b" * 100_000,
                 b"\r\n" * 1000, random.randbytes(4096)]
    return messages


def rpc_messages(random):
    """Returns byte strings that are no message of the internal protocol, some with tables of huge segments."""
    return [random.randbytes(size) for size in (1, 8, 64, 4096, 65536)] + [
        struct.pack("<I", MAX_WORD) * 4, struct.pack("<II", 0, MAX_WORD) + b"\0" * 64,
        struct.pack("<II", 511, 1 << 20) + b"\0" * 4096, struct.pack("<IIQ", 0, 1, MAX_WORD << 32),
        b"\0" * 65536, b"\xff" * 65536, b"GET / HTTP/1.1\r\n\r\n"]


class Recorder:
    """Listens as a control machine and records the first bytes that processes of the site send to it."""

    MAX_BYTES = 65536
    SILENCE = 1.0  # Seconds after which a connection counts as recorded.

    def __init__(self, ip):
        self.recordings = []
        self.listener = socket.create_server((ip, FIRST_RPC_PORT))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._record, args=(connection,), daemon=True).start()

    def _record(self, connection):
        recorded = b""
        connection.settimeout(self.SILENCE)
        with connection:
            try:
                while len(recorded) < self.MAX_BYTES and (part := connection.recv(self.MAX_BYTES)):
                    recorded += part
            except OSError:
                pass
        if recorded:
            self.recordings.append(recorded)

    def close(self):
        self.listener.close()


def changed_messages(random, recordings, count):
    """Returns recorded messages with some bytes replaced, cut off or repeated."""
    messages = []
    for _ in range(count):
        message = bytearray(random.choice(recordings))
        for _ in range(random.randint(1, 4)):
            message[random.randrange(len(message))] = random.choice([0, 1, 0x7F, 0x80, 0xFF, random.randrange(256)])
        cut = random.randrange(len(message)) if random.random() < 0.3 else len(message)
        messages.append(bytes(message[:cut]) * random.choice([1, 1, 2]))
    return messages


def send(ip, port, message):
    """Sends bytes to a port and reads what comes back until the connection ends or is silent."""
    try:
        with socket.create_connection((ip, port), timeout=SEND_TIMEOUT) as connection:
            connection.sendall(message)
            while connection.recv(65536):
                pass
    except OSError:
        pass


def open_unfinished(ip, port, message):
    """Opens connections that carry the beginning of a message; returns them."""
    connections = []
    for _ in range(HALF_OPEN_CONNECTIONS):
        try:
            connection = socket.create_connection((ip, port), timeout=SEND_TIMEOUT)
            connection.sendall(message[: len(message) // 2])
            connections.append(connection)
        except OSError:
            break
    return connections


def attack_port(ip, port, messages):
    """Sends messages to a port, beside connections that stay unfinished meanwhile."""
    unfinished = open_unfinished(ip, port, messages[0])
    for message in messages:
        send(ip, port, message)
    for connection in unfinished:
        connection.close()


def attack(machines, random, recordings):
    """Sends all malformed messages to all ports of machines at the same time."""
    threads = []
    for machine in machines:
        targets = [(port, http_messages(random)) for port in HTTP_PORTS[machine.role]]
        if machine.role == "control":
            messages = rpc_messages(random) + changed_messages(random, recordings, CHANGED_MESSAGES)
            targets.append((FIRST_RPC_PORT, messages))
        threads += [threading.Thread(target=attack_port, args=(machine.ip, *target)) for target in targets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def peak_megabytes(machine):
    """Returns the most memory that a process has had resident."""
    with open(f"/proc/{machine.process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024

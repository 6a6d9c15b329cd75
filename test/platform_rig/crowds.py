"""Scenarios with crowds of clients that don't keep to the limits (docs/design/customers-and-load.md, section 6).

The limits are lowered in the settings, so that a few hundred clients are far beyond them. Checked is only that no process
ends, that the memory and the descriptors of each process stay under bounds which follow from the limits, also after the
crowd has left, and that an ordinary request and an ordinary job are served afterwards.
"""
import os
import threading
import time

from platform_rig.callers import HOST, SERVICES, Client
from platform_rig.calls import call
from platform_rig.crowd import Crowd, Member, Pattern
from platform_rig.machines import CONTROL_PORT, FRONT_PORT, READY_PORT
from platform_rig.sites import FINISH, RECOVERY

KIB, MIB = 1 << 10, 1 << 20
LIMITS = {
    "max_connections": 100, "max_ready_connections": 16, "max_control_connections": 64,
    "max_header_bytes": 16384, "max_body_bytes": 262144, "max_control_body_bytes": MIB,
    "buffered_bytes": 4 * MIB, "reserved_control_bytes": MIB, "socket_buffer_bytes": 65536, "max_pipelined_bytes": 16384,
    "header_timeout_ms": 2000, "body_timeout_ms": 2000, "response_timeout_ms": 2000,
    "max_json_values": 4096, "max_json_depth": 32,
}
CONNECTIONS = {"entry": LIMITS["max_connections"] + LIMITS["max_ready_connections"], "control": LIMITS["max_control_connections"]}
CROWD = 300  # Three times the connections that a listener for callers allows.
CROWD_TIME = 6.0  # Seconds; three times the time that a body may take.
LEAVE_TIME = 4.0  # Seconds in which what the crowd held is released; twice the time that a body may take.
SAMPLE_INTERVAL = 0.1
# What a process may hold beyond its memory before the crowd. The budget is charged for each copy; the allocator rounds up
# by half at most. A connection has a header buffer, which grows by doubling, and 16 KiB for its objects. 4 MiB are
# for code, logs and metrics that are used for the first time.
ALLOCATION_FACTOR = 1.5
CONNECTION_BYTES = 2 * LIMITS["max_header_bytes"] + 16 * KIB
FIRST_USE_BYTES = 4 * MIB
# Afterwards, nothing is buffered. A quarter of the budget is for pages that the allocator can't give back.
RETAINED_FACTOR = 0.25
# The kernel doubles the size of a socket's buffers; one buffer for each direction.
QUEUED_BYTES = 2 * 2 * LIMITS["socket_buffer_bytes"]
OTHER_DESCRIPTORS = 32  # Links between processes and files that open meanwhile.
BODY = LIMITS["max_body_bytes"]
PIPELINED_REQUESTS = 4000


def resident_bytes(machine):
    with open(f"/proc/{machine.process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) * KIB


def descriptor_count(machine):
    return len(os.listdir(f"/proc/{machine.process.pid}/fd"))


def queued_bytes(machines):
    """Returns, for each machine, the bytes in the queues of its HTTP listeners' connections: not read yet, not sent yet."""
    ports = {CONTROL_PORT, FRONT_PORT, READY_PORT}
    queued = {machine.ip: 0 for machine in machines}
    with open(f"/proc/{machines[0].process.pid}/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            address, port = fields[1].split(":")
            ip = ".".join(str(byte) for byte in reversed(bytes.fromhex(address)))
            if ip in queued and int(port, 16) in ports and fields[3] != "0A":  # 0A: listening.
                queued[ip] += sum(int(size, 16) for size in fields[4].split(":"))
    return queued


class Gauge:
    """Samples what the processes of a site hold and keeps the highest figures."""

    def __init__(self, machines):
        self.machines = machines
        self.before = {machine.ip: (resident_bytes(machine), descriptor_count(machine)) for machine in machines}
        self.grown = {machine.ip: 0 for machine in machines}
        self.descriptors = {machine.ip: 0 for machine in machines}
        self.queued = {machine.ip: 0 for machine in machines}
        self.is_stopping = False
        self.thread = threading.Thread(target=self._loop, daemon=True)
        self.thread.start()

    def growth(self, machine):
        return resident_bytes(machine) - self.before[machine.ip][0]

    def _loop(self):
        while not self.is_stopping:
            running = [machine for machine in self.machines if machine.process.poll() is None]
            queued = queued_bytes(running) if running else {}
            for machine in running:
                try:
                    self._sample(machine, queued[machine.ip])
                except (OSError, StopIteration):
                    continue  # It has just ended; the rig reports that.
            time.sleep(SAMPLE_INTERVAL)

    def _sample(self, machine, queued):
        ip = machine.ip
        self.grown[ip] = max(self.grown[ip], self.growth(machine))
        self.descriptors[ip] = max(self.descriptors[ip], descriptor_count(machine) - self.before[ip][1])
        self.queued[ip] = max(self.queued[ip], queued)

    def stop(self):
        self.is_stopping = True
        self.thread.join()


def check_bound(rig, what, machine, value, bound, unit=1.0 / MIB):
    rig.note(f"{machine.name}: {what} {value * unit:.1f}, bound {bound * unit:.1f}")
    if value > bound:
        rig.ledger.violation(f"BOUND: {machine.name}: {what} {value * unit:.1f}, bound {bound * unit:.1f}")


def check_during(rig, gauge):
    for machine in gauge.machines:
        connections = CONNECTIONS[machine.role]
        memory = LIMITS["buffered_bytes"] * ALLOCATION_FACTOR + connections * CONNECTION_BYTES + FIRST_USE_BYTES
        check_bound(rig, "memory grew by MiB", machine, gauge.grown[machine.ip], memory)
        check_bound(rig, "MiB in socket queues", machine, gauge.queued[machine.ip], connections * QUEUED_BYTES)
        check_bound(rig, "further descriptors", machine, gauge.descriptors[machine.ip], connections + OTHER_DESCRIPTORS, 1)


def check_afterwards(rig, gauge):
    for machine in gauge.machines:
        if machine.process.poll() is None:
            bound = LIMITS["buffered_bytes"] * RETAINED_FACTOR + FIRST_USE_BYTES
            check_bound(rig, "memory kept MiB", machine, gauge.growth(machine), bound)


def check_service(rig):
    """An ordinary request is answered at each entry process, and an ordinary job runs."""
    headers = {"Host": HOST}
    for machine in rig.site.running_entries():
        rig.wait(lambda: call("GET", machine.front, f"/{SERVICES[0]}/", None, headers).is_ok, RECOVERY,
                 f"{machine.name} answers an ordinary request")
        rig.wait(lambda: call("GET", machine.address(READY_PORT), "/").is_ok, RECOVERY, f"{machine.name} is ready")
    client, job = Client(rig.site, rig.ledger, 0), f"{rig.random.getrandbits(64):016x}"
    steps = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]
    rig.wait(lambda: client.submit(SERVICES[0], job, "work 100", steps), RECOVERY, "an ordinary job is accepted")
    rig.wait(lambda: has_completed(rig, client, job), FINISH, "an ordinary job has run")


def has_completed(rig, client, job):
    answer = client.send("GET", SERVICES[0], job)
    rig.ledger.on_job_read(job, answer.status, answer.fields())
    return rig.ledger.jobs[job].is_completed


def run_crowd(rig, members):
    """Lets a crowd act beside the ordinary clients and checks the processes meanwhile and afterwards."""
    rig.start()
    gauge = Gauge(rig.site.slots + rig.site.entries)
    crowd = Crowd(members(rig))
    time.sleep(CROWD_TIME)
    opened = crowd.leave()
    gauge.stop()
    rig.note(f"{opened} connections of {len(crowd.members)} clients; first responses: {crowd.statuses}")
    check_during(rig, gauge)
    time.sleep(LEAVE_TIME)
    check_afterwards(rig, gauge)
    check_service(rig)
    rig.finish()


def head(method, path, *fields):
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST}", *fields, "", ""]).encode()


def chunks(data, size):
    pieces = [data[i:i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)


def text_body(size):
    """Returns a job of a size whose bytes are nearly all of one text."""
    start, end = b'{"steps":[],"spec":"', b'"}'
    return start + b"x" * (size - len(start) - len(end)) + end


def fields_body(size):
    """Returns a job that consists of as many short fields as its size allows."""
    start, end, field = b'{"steps":[]', b"}", b',"a":1'
    count = (size - len(start) - len(end)) // len(field)
    return start + field * count + end


def unfinished_bodies_of(method, path, size):
    """Patterns that send a legal body up to its last byte: in one piece, in pieces and in chunks."""
    body = text_body(size)
    whole = head(method, path, f"Content-Length: {size}") + body[:-1]
    return [Pattern(whole), Pattern(whole, piece=4096),
            Pattern(head(method, path, "Transfer-Encoding: chunked") + chunks(body[:-1], 1000))]


def oversized_bodies_of(method, path, size):
    """Patterns with bodies far beyond a limit, with a length and in chunks."""
    body = text_body(size)
    return [Pattern(head(method, path, f"Content-Length: {size}") + body),
            Pattern(head(method, path, "Transfer-Encoding: chunked") + chunks(body, 16384))]


def many_fields_of(method, path, size):
    body = fields_body(size)
    return [Pattern(head(method, path, f"Content-Length: {len(body)}") + body, repeats=True),
            Pattern(head(method, path, "Transfer-Encoding: chunked") + chunks(body, 16384) + b"0\r\n\r\n", repeats=True)]


def pipelined_of(method, path):
    return [Pattern(head(method, path) * PIPELINED_REQUESTS, reads="nothing")]


def slow_patterns_of(method, path, size):
    """Patterns that send headers or a body slowly, read slowly, or stall at the beginning or within a request."""
    body = text_body(size)
    long_head = head(method, path, *[f"X-{i}: {'y' * 100}" for i in range(120)], f"Content-Length: {size}")
    return [Pattern(long_head + body, piece=64, pause=0.02), Pattern(head(method, path, f"Content-Length: {size}") + body,
                                                                    piece=512, pause=0.02),
            Pattern(head("GET", path) * PIPELINED_REQUESTS, reads="slowly"), Pattern(b""), Pattern(long_head[:-2])]


def spread(targets, count=CROWD):
    """Returns members that take turns in using the (address, patterns) of a list."""
    combined = [(address, pattern) for address, patterns in targets for pattern in patterns]
    return [Member(*combined[i % len(combined)]) for i in range(count)]


def at_front(rig, patterns):
    """Returns a crowd at the callers' port of the first entry process, on paths with and without a route."""
    address = (rig.site.entries[0].ip, FRONT_PORT)
    paths = [f"/{SERVICES[0]}/{rig.random.getrandbits(64):016x}", "/nowhere/1"]
    return spread([(address, patterns(path)) for path in paths])


def unfinished_bodies(rig):
    """Legal bodies in one piece, in pieces and in chunks stop just short of their end; the connections stay open."""
    run_crowd(rig, lambda rig: at_front(rig, lambda path: unfinished_bodies_of("POST", path, BODY)))


def oversized_bodies(rig):
    """Bodies far over the limit, with their length and in chunks."""
    run_crowd(rig, lambda rig: at_front(rig, lambda path: oversized_bodies_of("POST", path, 32 * BODY)))


def many_fields(rig):
    """Legal bodies that consist of very many short fields, again and again."""
    run_crowd(rig, lambda rig: at_front(rig, lambda path: many_fields_of("POST", path, BODY)))


def pipelined_requests(rig):
    """Thousands of pipelined requests on each connection; no response is read."""
    run_crowd(rig, lambda rig: at_front(rig, lambda path: pipelined_of("GET", path)))


def slow_clients(rig):
    """Clients that send headers or bodies slowly, read slowly or stall."""
    run_crowd(rig, lambda rig: at_front(rig, lambda path: slow_patterns_of("POST", path, BODY)))


def crowd_at_readiness(rig):
    """All patterns at the readiness port."""
    def members(rig):
        address = (rig.site.entries[0].ip, READY_PORT)
        return spread([(address, unfinished_bodies_of("POST", "/", BODY) + oversized_bodies_of("POST", "/", 32 * BODY)
                        + many_fields_of("POST", "/", BODY) + pipelined_of("GET", "/") + slow_patterns_of("POST", "/", BODY))])
    run_crowd(rig, members)


def crowd_at_control(rig):
    """Unfinished, oversized and slow requests and pipelined reads at the port of operators and runners of one process."""
    def members(rig):
        address = (rig.site.slots[0].ip, CONTROL_PORT)
        size = LIMITS["max_control_body_bytes"]
        patterns = unfinished_bodies_of("PUT", "/config", size) + unfinished_bodies_of("PUT", "/instances/i-crowd", size)
        patterns += oversized_bodies_of("PUT", "/config", 8 * size) + many_fields_of("PUT", "/instances/i-crowd", size)
        patterns += pipelined_of("GET", "/config") + slow_patterns_of("PUT", "/config", size)
        return spread([(address, patterns)])
    run_crowd(rig, members)


CROWD_SCENARIOS = [unfinished_bodies, oversized_bodies, many_fields, pipelined_requests, slow_clients, crowd_at_readiness,
                   crowd_at_control]
CROWD_SIZES = {scenario.__name__: {"clients": 2, "request_limits": LIMITS} for scenario in CROWD_SCENARIOS}

"""A crowd of clients that don't keep to the limits: each repeats one pattern on a connection of its own."""
import errno
import selectors
import socket
import threading
import time
from dataclasses import dataclass

RECONNECT_DELAY = 1.0  # Seconds after the end of a connection; bounds the load that a crowd of refused clients causes.
TICK = 0.01
READ_SIZE = 65536
SLOW_READ_SIZE = 16
MAX_SENDS = 16  # Pieces sent at once; the other members have their turn after that.


@dataclass(frozen=True)
class Pattern:
    """What a member sends on a connection and how it reads the responses."""
    payload: bytes
    piece: int = READ_SIZE  # Bytes sent at once.
    pause: float = 0.0  # Seconds between two pieces.
    reads: str = "all"  # "all", "slowly" or "nothing".
    repeats: bool = False  # Whether the payload is sent again when a response has arrived.


class Member:
    """A client; it opens a new connection when its connection ends."""

    def __init__(self, target, pattern):
        self.target = target
        self.pattern = pattern
        self.socket = None
        self.sent = 0
        self.next_send = 0.0
        self.connections = 0
        self.first_bytes = b""

    def connect(self, now):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.sent = 0
        self.first_bytes = b""
        self.next_send = now
        self.connections += 1
        if self.socket.connect_ex(self.target) not in (0, errno.EINPROGRESS):
            self.close(now)

    def close(self, now):
        if self.socket:
            self.socket.close()
        self.socket = None
        self.next_send = now + RECONNECT_DELAY

    def act(self, now, statuses):
        """Sends and reads what is due."""
        if now < self.next_send:
            return
        if self.socket is None:
            self.connect(now)
            return
        try:
            self._send(now)
            self._read(now, statuses)
        except BlockingIOError:
            pass
        except OSError:
            self.close(now)

    def _send(self, now):
        for _ in range(MAX_SENDS):
            if self.sent == len(self.pattern.payload):
                return
            try:
                self.sent += self.socket.send(self.pattern.payload[self.sent:self.sent + self.pattern.piece])
            except BlockingIOError:
                return
            if self.pattern.pause:
                self.next_send = now + self.pattern.pause
                return

    def _read(self, now, statuses):
        if self.pattern.reads == "nothing":
            # An ended connection shows when the member sends or when the peer's end is seen without taking a byte.
            if self.socket.recv(1, socket.MSG_PEEK) == b"":
                self.close(now)
            return
        data = self.socket.recv(SLOW_READ_SIZE if self.pattern.reads == "slowly" else READ_SIZE)
        if not data:
            self.close(now)
            return
        if not self.first_bytes:
            self.first_bytes = data
            if data.startswith(b"HTTP/"):  # Otherwise it is the rest of an earlier response.
                status = data[9:12].decode(errors="replace")
                statuses[status] = statuses.get(status, 0) + 1
        if self.pattern.repeats:
            self.sent, self.first_bytes = 0, b""


class Crowd:
    """Members that act in one thread until the crowd leaves."""

    def __init__(self, members):
        self.members = members
        self.statuses = {}
        self.is_leaving = False
        self.thread = threading.Thread(target=self._loop, daemon=True)
        self.thread.start()

    def _loop(self):
        while not self.is_leaving:
            with selectors.DefaultSelector() as selector:
                for member in self.members:
                    if member.socket is not None:
                        wants_write = member.sent < len(member.pattern.payload)
                        selector.register(member.socket, selectors.EVENT_READ | (selectors.EVENT_WRITE if wants_write else 0))
                selector.select(TICK)
            now = time.monotonic()
            for member in self.members:
                member.act(now, self.statuses)
            time.sleep(TICK)

    def leave(self):
        """Closes all connections; returns how many were opened."""
        self.is_leaving = True
        self.thread.join()
        for member in self.members:
            member.close(0.0)
        return sum(member.connections for member in self.members)

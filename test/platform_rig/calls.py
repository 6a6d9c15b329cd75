"""HTTP calls of the stand-ins."""
import http.client
import json
import os
import sys
from dataclasses import dataclass

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from fleet import http as send_http  # noqa: E402

CALL_TIMEOUT = 1.0  # Seconds; callers of control listeners go on to another process after a second.


@dataclass(frozen=True)
class Answer:
    """An answer; status 0 means that none came."""
    status: int
    text: bytes = b""

    @property
    def is_ok(self):
        return 200 <= self.status < 300

    def fields(self):
        """Returns the decoded JSON object, empty if there is none."""
        try:
            value = json.loads(self.text)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


def call(method, address, path, body=None, headers=None, timeout=CALL_TIMEOUT):
    """Sends one request whose body is JSON."""
    data = None if body is None else json.dumps(body).encode()
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        status, _, text = send_http(method, address, path, data, all_headers, timeout)
        return Answer(status, text)
    except (OSError, http.client.HTTPException):
        return Answer(0)

"""Shows one entry instance with stand-in runners and workers: requests, a drain and a move between pools."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import BINARY, ROOT, Fleet, http, wait_until  # noqa: E402

OBJECTS = [
    {"kind": "Service", "name": "intake", "selector": "service=intake", "maxUnavailablePercent": 25},
    {"kind": "Service", "name": "ripening", "selector": "service=ripening", "maxUnavailablePercent": 50},
    {"kind": "Pool", "name": "intake", "selector": "pool=intake", "service": "intake"},
    {"kind": "Pool", "name": "ripening", "selector": "pool=ripening", "service": "ripening"},
]
ENTRY = "127.0.0.1:7400"


def show(fleet, *arguments):
    print("$ celeryline", " ".join(arguments))
    print(fleet.cli(*arguments)[1].rstrip())


def row(service, count):
    return {"kind": "runner", "name": service, "count": count, "dataCentre": "local",
            "labels": f"service={service},pool={service}", "leaseMs": 1500, "workMs": 2}


def phase_of(fleet, name):
    code, text = fleet.cli("get", "instances", "--output", "json", check=False)
    if code != 0:
        return {}
    listed = json.loads(text)
    rows = listed if isinstance(listed, list) else listed.get("items", [])
    return next((r for r in rows if r["name"] == name), {})


def main():
    with Fleet(os.path.join(ROOT, "build", "demo")) as fleet:
        fleet.instances["local-1"] = {"httpListen": ENTRY, "dataCentre": "local"}
        fleet.processes["local-1"] = fleet._spawn([BINARY, "serve"], "local-1.log")
        print(f"== one entry instance on its embedded default, ready after {fleet.wait_ready():.1f} s")
        path = f"{fleet.run_dir}/fleet.json"
        with open(path, "w") as out:
            json.dump(OBJECTS, out, indent=1)
        show(fleet, "apply", "-f", os.path.relpath(path, os.getcwd()), "--wait")
        fleet.start_upstreams([row("intake", 4), row("ripening", 2)])
        wait_until(lambda: phase_of(fleet, "intake-3") and phase_of(fleet, "ripening-1"), 10, "announcements")
        print("== a request, end to end")
        status, headers, body = http("POST", ENTRY, "/call/intake/bins", b"bin 4711, 320 kg",
                                     {"Idempotency-Key": "bin-4711"})
        print(f"status {status}, outcome {headers.get('Celeryline-Outcome')}, runner "
              f"{headers.get('Test-Runner')}, body {body.decode()!r}")
        print("== load while an instance is drained and another one changes its pool")
        load = fleet.load("/call/intake/bins", wait=False, seconds=8, connections=8, rate=500, keyed_percent=20)
        time.sleep(1)
        show(fleet, "drain", "intake-0")
        time.sleep(2)
        show(fleet, "undrain", "intake-0")
        show(fleet, "label", "intake-3", "pool=ripening", "service=ripening")
        took = wait_until(lambda: phase_of(fleet, "intake-3").get("pool") == "ripening", 10, "move")
        print(f"== intake-3 belongs to pool ripening after {took:.1f} s")
        show(fleet, "get", "instances")
        print("== what the callers saw:", load.communicate()[0].strip())
        is_right, text = fleet.check_journals()
        print("== callers' journal against runners' journal:", text)
        return 0 if is_right else 1


if __name__ == "__main__":
    sys.exit(main())

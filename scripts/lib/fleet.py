"""Starts and stops the processes of a site for the demo, for local fleets and for the fault tests."""
import json
import os
import re
import shutil
import signal
import subprocess
import time
import urllib.error
import urllib.request

from links import Links

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, os.environ.get("CELERYLINE_BUILD", "build"), "celeryline")
KIT = os.path.join(ROOT, os.environ.get("CELERYLINE_BUILD", "build"), "celeryline-testkit")


def read_json_with_comments(path):
    """Reads JSON whose comments start a line, as in the files under examples/."""
    with open(path) as file:
        return json.loads(re.sub(r"^\s*//.*$", "", file.read(), flags=re.MULTILINE))


def http(method, address, path, body=None, headers=None, timeout=10):
    """Sends one request; returns (status, headers, body). Status 0 means that no answer came."""
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()
    except OSError:
        return 0, {}, b""


def wait_until(condition, seconds, what):
    """Waits for a condition and returns the seconds it took; raises TimeoutError if it stays false."""
    start = time.monotonic()
    while time.monotonic() - start < seconds:
        if condition():
            return time.monotonic() - start
        time.sleep(0.02)
    raise TimeoutError(f"{what}: not reached within {seconds} s")


class Fleet:
    """The processes of one site."""

    def __init__(self, run_dir, site=None, overrides=None, with_links=False):
        self.run_dir = os.path.abspath(run_dir)
        shutil.rmtree(self.run_dir, ignore_errors=True)
        os.makedirs(f"{self.run_dir}/log")
        self.instances = {}
        self.processes = {}
        self.upstreams = {}
        self.links = Links() if with_links else None
        if site:
            self._load(os.path.join(ROOT, "examples", site), overrides or {})

    def _load(self, folder, overrides):
        self.folder = folder
        os.makedirs(f"{self.run_dir}/instances")
        for name in sorted(os.listdir(f"{folder}/instances")):
            settings = read_json_with_comments(f"{folder}/instances/{name}")
            for key, value in overrides.items():
                settings.setdefault(key, {})
                settings[key] = {**settings[key], **value} if isinstance(value, dict) else value
            if self.links:
                self._insert_links(settings)
            with open(f"{self.run_dir}/instances/{name}", "w") as out:
                json.dump(settings, out, indent=2)
            self.instances[settings["name"]] = settings

    def _insert_links(self, settings):
        for peer in settings["peers"]:
            if peer["name"] != settings["name"]:
                for key in ("peer", "http"):
                    peer[key] = self.links.add(settings["name"], peer["name"], peer[key])

    def _spawn(self, arguments, log):
        with open(f"{self.run_dir}/log/{log}", "a") as out:
            return subprocess.Popen(arguments, cwd=self.run_dir, stdout=out, stderr=subprocess.STDOUT)

    def start_instance(self, name):
        arguments = [BINARY, "serve", "--config", f"instances/{name}.json"]
        self.processes[name] = self._spawn(arguments, f"{name}.log")

    def start_instances(self):
        for name in self.instances:
            self.start_instance(name)

    def address(self, name):
        return self.instances[name]["httpListen"]

    def is_ready(self, name):
        return http("GET", self.address(name), "/readyz", timeout=2)[0] == 200

    def wait_ready(self, names=None, seconds=20):
        names = list(names or self.instances)
        return wait_until(lambda: all(self.is_ready(n) for n in names), seconds, f"ready: {names}")

    def status(self, name):
        status, _, body = http("GET", self.address(name), "/v1/status", timeout=3)
        return json.loads(body) if status == 200 else {}

    def signal(self, name, number):
        process = self.processes.get(name) or self.upstreams[name]
        process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name, seconds=70):
        """Stops an instance gracefully; returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout=seconds)

    def lose_disk(self, name):
        shutil.rmtree(f"{self.run_dir}/{self.instances[name]['dataDir']}", ignore_errors=True)

    def entries_of(self, centre):
        return [s["httpListen"] for s in self.instances.values() if s["dataCentre"] == centre]

    def start_upstreams(self, rows=None, **options):
        """Starts one process for each row of the site's upstreams.json."""
        if rows is None:
            rows = read_json_with_comments(f"{self.folder}/upstreams.json")
        for row in rows:
            if row["count"] > 0:
                self._start_upstream_row({**row, **options})

    def _start_upstream_row(self, row):
        arguments = [KIT, "upstreams", "--kind", row["kind"], "--name", row["name"], "--count", str(row["count"]),
                     "--data-centre", row["dataCentre"], "--labels", row["labels"],
                     "--journal", f"{self.run_dir}/log/{row['name']}.journal"]
        for key, option in (("cpuMilli", "--cpu-milli"), ("memoryMb", "--memory-mb"), ("leaseMs", "--lease-ms"),
                            ("rebootMs", "--reboot-ms"), ("workMs", "--work-ms")):
            if key in row:
                arguments += [option, str(row[key])]
        for entry in row.get("entries") or self.entries_of(row["dataCentre"]):
            arguments += ["--entry", entry]
        self.upstreams[row["name"]] = self._spawn(arguments, f"{row['name']}.log")

    def cli(self, *arguments, server=None, check=True):
        """Runs an operator's command; returns its exit code and output."""
        servers = [server] if server else [s["httpListen"] for s in self.instances.values()]
        command = [BINARY, arguments[0]]
        for address in servers:
            command += ["--server", address]
        result = subprocess.run(command + list(arguments[1:]), capture_output=True, text=True, timeout=120)
        if check and result.returncode != 0:
            raise RuntimeError(f"celeryline {' '.join(arguments)}: exit {result.returncode}\n"
                               f"{result.stdout}{result.stderr}")
        return result.returncode, result.stdout + result.stderr

    def load(self, path, entries=None, wait=True, journal="load", **options):
        """Runs the load tool; returns its output, or its process if wait is false."""
        arguments = [KIT, "load", "--path", path, "--journal", f"{self.run_dir}/log/{journal}.journal",
                     "--prefix", journal]
        for entry in entries or [s["httpListen"] for s in self.instances.values()]:
            arguments += ["--entry", entry]
        for key, value in options.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        process = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        return process.communicate()[0].strip() if wait else process

    def check_journals(self):
        """Compares what callers were told with what runners ran; returns (is right, output)."""
        folder = f"{self.run_dir}/log"
        files = [f"{folder}/{f}" for f in sorted(os.listdir(folder)) if f.endswith(".journal")]
        result = subprocess.run([KIT, "check-journal", *files], capture_output=True, text=True)
        return result.returncode == 0, result.stdout.strip()

    def shut_down(self):
        """Stops everything; upstreams first, so that they can leave."""
        for group in (self.upstreams, self.processes):
            for process in group.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal.SIGTERM)
            for process in group.values():
                try:
                    process.wait(timeout=20)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
        if self.links:
            self.links.close()
            self.links = None

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.shut_down()

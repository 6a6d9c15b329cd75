#!/usr/bin/env python3
"""Writes the settings and fleet files of the two sites. Run it after changing the tables below."""
import json
import os
import sys

SITES = {
    "kromrivier": {
        "port": 7400,
        "instances": [("cellar-a", 2), ("cellar-b", 2), ("packhouse", 2), ("homestead", 2)],
        "voters": ["cellar-a-1", "cellar-a-2", "cellar-b-1", "packhouse-1", "homestead-1"],
        "services": {"intake": 12, "ripening": 10, "cellarage": 8, "dispatch": 12, "counting-house": 8},
        "spare": "counting-house",
        "weights": {"bufferCost": 3, "rollOutTime": 1, "moves": 1},
        "workersPerPool": 8,
        "worker": {"cpuMilli": 16000, "memoryMb": 32768},
    },
    "consorzio": {
        "port": 7500,
        "instances": [("milano-a", 3), ("torino-b", 2), ("verona-c", 2)],
        "voters": ["milano-a-1", "milano-a-2", "torino-b-1", "torino-b-2", "verona-c-1"],
        "services": {"preventivi": 12, "sopralluoghi": 10, "giri": 8, "contributi": 12, "servizi-vari": 8},
        "spare": "servizi-vari",
        "weights": {"bufferCost": 1, "rollOutTime": 3, "moves": 1},
        "workersPerPool": 8,
        "worker": {"cpuMilli": 32000, "memoryMb": 131072},
    },
}


def instance_names(site):
    return [(f"{centre}-{i + 1}", centre) for centre, count in site["instances"] for i in range(count)]


def write_instances(folder, site):
    peers = []
    for index, (name, centre) in enumerate(instance_names(site)):
        port = site["port"] + 2 * index
        peers.append({"name": name, "dataCentre": centre, "http": f"127.0.0.1:{port}",
                      "peer": f"127.0.0.1:{port + 1}"})
    os.makedirs(f"{folder}/instances", exist_ok=True)
    for peer in peers:
        lines = ["{", f'  "name": "{peer["name"]}",', f'  "dataCentre": "{peer["dataCentre"]}",']
        if peer["name"] in site["voters"]:
            lines.append("  // Relative to the working directory of the process.")
            lines.append(f'  "dataDir": "data/{peer["name"]}",')
        lines.append(f'  "httpListen": "{peer["http"]}",')
        lines.append(f'  "peerListen": "{peer["peer"]}",')
        lines.append("  // Spread so that no data centre holds a majority.")
        lines.append(f'  "voters": {json.dumps(site["voters"])},')
        lines.append(f'  "maintenance": {{ "weights": {json.dumps(site["weights"])} }},')
        lines.append("  // The same list for every instance; an instance skips its own row.")
        lines.append('  "peers": [')
        lines.extend("    " + json.dumps(p) + ("," if p is not peers[-1] else "") for p in peers)
        lines += ["  ]", "}", ""]
        with open(f"{folder}/instances/{peer['name']}.json", "w") as out:
            out.write("\n".join(lines))


def write_fleet(folder, site):
    objects = []
    for service in site["services"]:
        spare = service == site["spare"]
        objects.append({"kind": "Service", "name": service, "selector": f"service={service}",
                        "maxUnavailablePercent": 25, "spare": spare})
        objects.append({"kind": "Pool", "name": service, "selector": f"pool={service}", "service": service,
                        "spare": spare, "guarded": True})
    with open(f"{folder}/fleet.json", "w") as out:
        out.write("// Services and their guarded pools. Apply it with: celeryline apply -f fleet.json\n[\n")
        out.write(",\n".join("  " + json.dumps(o) for o in objects))
        out.write("\n]\n")


def write_upstreams(folder, site):
    """Stand-in upstreams: each service's runners and each pool's workers, dealt out over the data centres."""
    rows = []
    centres = [centre for centre, _ in site["instances"]]
    start = 0
    for service, runners in site["services"].items():
        spare = service == site["spare"]
        labels = f"service={service},pool={service}" + (",serves=any" if spare else "")
        for kind, total in (("runner", runners), ("worker", site["workersPerPool"])):
            for offset, centre in enumerate(centres):
                count = total // len(centres) + ((offset - start) % len(centres) < total % len(centres))
                row = {"kind": kind, "name": f"{service}-{kind}-{centre}", "count": int(count),
                       "dataCentre": centre, "labels": labels if kind == "runner" else f"pool={service}"}
                if kind == "worker":
                    row.update(site["worker"])
                rows.append(row)
            start += total % len(centres)
    with open(f"{folder}/upstreams.json", "w") as out:
        out.write("[\n" + ",\n".join("  " + json.dumps(r) for r in rows) + "\n]\n")


def main():
    root = os.path.dirname(os.path.abspath(sys.argv[0]))
    for name, site in SITES.items():
        folder = f"{root}/{name}"
        os.makedirs(folder, exist_ok=True)
        write_instances(folder, site)
        write_fleet(folder, site)
        write_upstreams(folder, site)


if __name__ == "__main__":
    main()

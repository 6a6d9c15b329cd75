#!/usr/bin/env python3
"""Brings about faults between real processes of celeryline-platform and checks what callers and runners see.

usage: test/platform_faults.py [--only NAME,...] [--seed N | --seeds FROM-TO] [--report FILE] [--list]

Each machine of a site is a loopback address with a process of its own (target celeryline-platform). Runners, an
operator, clients and the machine provider are small stand-ins in test/platform_rig/. A scenario removes, kills,
pauses and replaces machines from outside, never more at a time than the settings tolerate, and then checks: what was
acknowledged is in force and readable, accepted jobs are known and complete, no task runs twice, nothing runs that
nobody asked for, and no process ends by itself. Settings and logs stay in build/platform-faults/NAME-SEED/.
Exit code 0: every check held.
"""
import argparse
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_rig.scenarios import SCENARIOS, run  # noqa: E402


def seeds_of(arguments):
    if not arguments.seeds:
        return [arguments.seed]
    first, last = arguments.seeds.split("-")
    return list(range(int(first), int(last) + 1))


def print_row(row):
    print(f"{row['name']} (seed {row['seed']}, {row['seconds']:.0f} s): {row['verdict']}")
    for line in row["violations"] + row["notes"]:
        print("   ", line, flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", default="", help="FROM-TO")
    parser.add_argument("--report", default="")
    parser.add_argument("--list", action="store_true", help="print the scenarios")
    arguments = parser.parse_args()
    if arguments.list:
        for function in SCENARIOS:
            print(f"{function.__name__}: {function.__doc__}")
        return 0
    signal.signal(signal.SIGTERM, lambda *unused: sys.exit(1))  # Ends the processes on the way out.
    chosen = [f for f in SCENARIOS if not arguments.only or f.__name__ in arguments.only.split(",")]
    rows = []
    for seed in seeds_of(arguments):
        for function in chosen:
            rows.append(run(function, seed))
            print_row(rows[-1])
    failed = sum(row["verdict"] != "held" for row in rows)
    if arguments.report:
        with open(arguments.report, "w") as out:
            json.dump(rows, out, indent=1)
    print(f"{len(rows) - failed} held, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Aggregates the traces (EDGE_TRACE) of all sidecars of a run per second.

    bench/fleet_account.py FOLDER      directory with the logs n*.log, each line starts with its time in seconds

One row per second: reporting sidecars, listed servers (median) and admission (mean), then sums over all
sidecars: requests and attempts by outcome, and active attempts by server (median, maximum).
"""
import collections
import glob
import json
import os
import statistics
import sys


class Second:
    def __init__(self):
        self.sums = collections.Counter()
        self.listed = []
        self.admit = []
        self.out = collections.Counter()  # by server
        self.answered = {}                # by server: responses, total time

    def add(self, line):
        self.sums["sidecars"] += 1
        for counts in line["classes"].values():
            for name in ("served", "late", "tries", "untried"):
                self.sums[name] += counts[name]
            for cause, n in counts.get("refused", {}).items():
                self.sums["refused:" + cause] += n
        for pool in line["pools"]:
            self.listed.append(pool["servers"])
            self.admit.append(pool["admit"])
        for name, server in line.get("servers", {}).items():
            self.out[name] += server.get("out", 0)
            results = server.get("results", {})
            for result, n in results.items():
                self.sums["attempt:" + result] += n
            ok, took = self.answered.get(name, (0, 0))
            n = results.get("ok", 0)
            self.answered[name] = (ok + n, took + n * server.get("mean_ms", 0))

    def server_columns(self):
        answering = [s for s, (ok, _) in self.answered.items() if ok > 0]
        out = [self.out[s] for s in answering] or [0]
        times = [self.answered[s][1] / self.answered[s][0] for s in answering] or [0]
        return [len(answering), int(statistics.median(out)), max(out), round(statistics.median(times))]


def read(folder):
    seconds = collections.defaultdict(Second)
    for path in glob.glob(os.path.join(folder, "n*.log")):
        with open(path, encoding="utf-8", errors="replace") as log:
            for text in log:
                at, mark, trace = text.partition(" trace: ")
                if not mark:
                    continue
                try:
                    seconds[int(float(at))].add(json.loads(trace))
                except (ValueError, KeyError):
                    print(f"{path}: skipped an unreadable line", file=sys.stderr)
    return seconds


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    seconds = read(sys.argv[1])
    if not seconds:
        sys.exit(f"{sys.argv[1]}: no n*.log with a trace in it")
    columns = sorted({name for second in seconds.values() for name in second.sums})
    head = ["second", "listed", "admit"] + columns + ["answering", "median_out", "most_out", "median_ms"]
    print("\t".join(head))
    for at in sorted(seconds):
        second = seconds[at]
        listed = int(statistics.median(second.listed or [0]))
        admit = round(statistics.mean(second.admit or [0]), 2)
        row = [at, listed, admit] + [second.sums[c] for c in columns] + second.server_columns()
        print("\t".join(str(cell) for cell in row))


main()

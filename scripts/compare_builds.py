#!/usr/bin/env python3
"""Plays days of a deployment with several builds in turn and compares their worth.

Each build is a checkout that the users' bench can run in. A day is played with each seed once for each build, the
builds one after the other, so that a slow phase of the machine affects all of them alike. Prints the mean, the spread
and the difference to the first build for each day, with the largest price and the days that failed a rule or the gate.
"""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

# Longest time that one day may take, seconds. A day of 300 hosts takes several minutes.
DAY_LIMIT_S = 900

Play = collections.namedtuple("Play", "build day seed worth parts prices breaks shortfalls error")


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="path of the bench program")
    parser.add_argument("--site", required=True, help="path of the site file")
    parser.add_argument("--days", required=True, help="names of days or paths of day files, separated by commas")
    parser.add_argument("--seeds", default="1,2,3,4,5", help="seeds, separated by commas")
    parser.add_argument("--jobs", type=int, default=3, help="days played at once")
    parser.add_argument("--cpu", action="store_true", help="charge processor time; needs an idle machine")
    parser.add_argument("--why", default="builds compared in turn", help="line for the journal")
    parser.add_argument("builds", nargs="+", metavar="NAME=CHECKOUT", help="builds; the first is the base")
    arguments = parser.parse_args()
    for build in arguments.builds:
        name, separator, checkout = build.partition("=")
        if not (name and separator and pathlib.Path(checkout, "deploy").is_dir()):
            parser.error(f"{build}: expected NAME=CHECKOUT with a folder deploy")
    return arguments


def play(arguments, build, checkout, day, seed):
    """Plays one day and returns its figures; a day that can't be played is reported, not left out."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [arguments.bench, "run", arguments.site, day, "--seed", seed, "--report", report.name,
                   "--jobs", "1", "--why", arguments.why]
        if not arguments.cpu:
            command.append("--no-cpu")
        try:
            done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, timeout=DAY_LIMIT_S)
            figures = json.loads(pathlib.Path(report.name).read_text())
        except (subprocess.TimeoutExpired, json.JSONDecodeError) as failure:
            output = done.stdout[-300:] + done.stderr[-300:] if isinstance(failure, json.JSONDecodeError) else ""
            return Play(build, day, seed, None, {}, [], {}, [], f"{failure} {output}")
    parts = {name: value for name, _, value in figures["parts"]}
    prices = [(name, price) for name, _, price in figures["prices"]]
    return Play(build, day, seed, figures["G"], parts, prices, figures["breaks"], figures["short"],
                figures["fault"])


def row(label, plays, base):
    worths = [play.worth for play in plays if play.worth is not None]
    if not worths:
        return f"{label:<26} no day could be played"
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    text = f"{label:<26} {statistics.mean(worths):7.3f} {spread:7.3f}"
    paired = {(play.day, play.seed): play.worth for play in base if play.worth is not None}
    differences = [play.worth - paired[play.day, play.seed] for play in plays
                   if play.worth is not None and (play.day, play.seed) in paired]
    if plays is not base and differences:
        error = statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
        text += f" {statistics.mean(differences):+7.3f} +-{error:.3f}"
    else:
        text += " " * 16
    windows = [play.parts.get("worst windows", 0.0) for play in plays if play.worth is not None]
    text += f"  windows {statistics.mean(windows):.2f}"
    sums = collections.Counter()
    for play in plays:
        sums.update(dict(play.prices))
    name, price = sums.most_common(1)[0]
    return f"{text}  {name} {price / len(worths):.3f}"


def main():
    arguments = parse_arguments()
    builds = [build.partition("=")[::2] for build in arguments.builds]
    days, seeds = arguments.days.split(","), arguments.seeds.split(",")
    for _, checkout in builds:
        subprocess.run([arguments.bench, "build"], cwd=checkout, check=True, stdout=subprocess.DEVNULL)
    tasks = [(build, checkout, day, seed) for day in days for seed in seeds for build, checkout in builds]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        plays = list(pool.map(lambda task: play(arguments, *task), tasks))
    print(f"{'day, build':<26} {'mean':>7} {'spread':>7} {'against base':>15}  largest price")
    for day in [*days, None]:
        of_day = [play for play in plays if day in (play.day, None)]
        base = [play for play in of_day if play.build == builds[0][0]]
        for name, _ in builds:
            own = base if name == builds[0][0] else [play for play in of_day if play.build == name]
            print(row(f"{pathlib.Path(day).stem if day else 'all days'}, {name}", own, base))
    failed = [play for play in plays if play.breaks or play.shortfalls or play.error]
    for play_ in failed:
        print(f"{play_.build} {play_.day} seed {play_.seed}: rules {play_.breaks or 'kept'}, "
              f"gate {play_.shortfalls or 'passed'}, {play_.error or 'no fault'}")
    sys.exit(1 if any(play.worth is None for play in plays) else 0)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Lists the days in the journal whose gate failed, with the rules that were broken and the shares that were missed.

The summary of a hunt counts broken rules only; a day that serves too little fails its gate without one. Exits with 1 if a
day failed.
"""

import argparse
import json
import pathlib
import sys


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--journal", default=pathlib.Path(__file__).parent.parent / "journal", type=pathlib.Path)
    parser.add_argument("--since", default="", help="first entry, as its name begins: 20261206T02")
    parser.add_argument("--head", default="", help="only entries of the commit that begins so")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    played, failed = 0, 0
    for path in sorted(arguments.journal.glob("*.json")):
        if path.name < arguments.since:
            continue
        try:
            entry, _ = json.JSONDecoder().raw_decode(path.read_text())
        except ValueError as error:
            print(f"{path.name}: not read, {error}", file=sys.stderr)
            failed += 1
            continue
        if not entry["head"].startswith(arguments.head):
            continue
        for day in entry.get("days") or []:
            played += 1
            if day["gate"]:
                continue
            failed += 1
            reasons = [*day["rules"], *day["short"], day["fault"] or ""]
            print(f"{path.stem} {entry['cmd']} {entry['site']} {day['name']} seed {day['seed']} ({entry['head'][:7]}): "
                  f"{'; '.join(reason for reason in reasons if reason) or 'worth below its floor'}")
    print(f"{played} days, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

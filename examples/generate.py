#!/usr/bin/env python3
"""Writes the example documents of the two deployments, at the sizes of section 1 of docs/design.md.

Run from any directory; the output is the same on every run. The demo documents are written by hand.
"""

import hashlib
import pathlib

FOLDER = pathlib.Path(__file__).parent

# (size in billions of parameters, memory in GiB, slots, prompt, output, load times in ms)
SIZES = [
    (1, "3 GiB", 32, 8192, 1024, (300, 900, 2500)),
    (3, "7.5 GiB", 24, 8192, 2048, (500, 1800, 5000)),
    (8, "17 GiB", 16, 16384, 2048, (900, 3500, 10000)),
    (14, "30 GiB", 8, 16384, 4096, (1500, 6000, 17000)),
    (32, "66 GiB", 8, 32768, 4096, (3000, 13000, 36000)),
]

CHAT = "/v1/chat/completions"
LIST = "/v1/models"


def header(name, file):
    return (
        f"# Example document of {name}, written by examples/generate.py.\n"
        f"# The keys are public (zk-{file}-<account>-key): replace the digests before accepting it.\n\n"
    )


def digest(deployment, account, suffix=""):
    key = f"zk-{deployment}-{account}-key{suffix}"
    return hashlib.sha256(key.encode()).hexdigest()


def quoted(names):
    return ", ".join(f'"{name}"' for name in names)


def model(name, size, keep_alive=None):
    _, memory, slots, prompt, output, (near, disk, remote) = size
    lines = [
        "[[models]]",
        f'name = "{name}"',
        f'memory = "{memory}"',
        f"slots = {slots}",
        f"max_prompt_tokens = {prompt}",
        f"max_output_tokens = {output}",
        f"load_ms = {{ memory = {near}, disk = {disk}, remote = {remote} }}",
    ]
    if keep_alive:
        floor, ceiling = keep_alive
        lines += [f"keep_alive_floor_ms = {floor}", f"keep_alive_ceiling_ms = {ceiling}"]
    return "\n".join(lines) + "\n\n"


def models(subjects, count):
    """The first subject is asked for all day and keeps its replicas longer than the others."""
    entries = []
    for index in range(count):
        subject, size = subjects[index // len(SIZES)], SIZES[index % len(SIZES)]
        keep_alive = (60_000, 3_600_000) if index < len(SIZES) else None
        entries.append((f"{subject}-{size[0]}b", size, keep_alive))
    return entries


def adapters(bases, subjects, count):
    """Adapters sit on the small and middle sizes only."""
    bases = [name for name, size, _ in bases if size[0] <= 8]
    return [(bases[i % len(bases)], subjects[i // len(bases)]) for i in range(count)]


def adapter(base, name):
    return f'[[adapters]]\nname = "{name}"\nbase = "{base}"\nmemory = "96 MiB"\n\n'


def route(prefix, methods, idempotent, priority, deadline_ms, access="keyed", batch_ms=None):
    batch = f"batch_deadline_ms = {batch_ms}\n" if batch_ms else ""
    return (
        f'[[routes]]\nprefix = "{prefix}"\nmethods = [{quoted(methods)}]\naccess = "{access}"\n'
        f'idempotent = {str(idempotent).lower()}\nclass = "{priority}"\ndeadline_ms = {deadline_ms}\n{batch}\n'
    )


def account(deployment, entry, rate, burst, grants):
    name, digests = entry["name"], [digest(deployment, entry["name"])]
    if entry.get("rotates"):
        digests.append(digest(deployment, name, "-2"))
    text = f'[[accounts]]\nname = "{name}"\nkey_digests = [{quoted(digests)}]\n'
    text += f"tokens_per_second = {rate}\nburst = {burst}\n"
    text += f'class_ceiling = "{entry["ceiling"]}"\nweight = {entry["weight"]}\n'
    return text + "".join(f"{key} = [{quoted(names)}]\n" for key, names in grants) + "\n"


def model_document(deployment, name, service, fencing, loads, base, tuned, routes, accounts):
    text = header(f"the model service of {name}", deployment)
    text += f'service = "{service}"\nkind = "models"\ngroup = "{service}"\n'
    text += f"fencing = {str(fencing).lower()}\n\n"
    text += f"[weight_store]\nloads_per_second = {loads}\nat_once = 4\nadapters_at_once = 30\n\n"
    text += "".join(model(*entry) for entry in base)
    text += "".join(adapter(*entry) for entry in tuned)
    text += "".join(routes)
    for entry in accounts:
        grants = [("models", entry["models"]), ("routes", entry["model_routes"])]
        text += account(deployment, entry, entry["rate"], entry["burst"], grants)
    (FOLDER / f"{deployment}-llm.toml").write_text(text.rstrip() + "\n")


def plain_document(deployment, name, service, routes, accounts):
    text = header(f"the plain service of {name}", deployment)
    text += f'service = "{service}"\nkind = "plain"\ngroup = "{service}"\n\n'
    text += "".join(routes)
    for entry in accounts:
        grants = [("routes", entry["plain_routes"])]
        text += account(deployment, entry, entry["calls"], 20 * entry["calls"], grants)
    (FOLDER / f"{deployment}-app.toml").write_text(text.rstrip() + "\n")


def client(name, ceiling, weight, rate, burst, calls, granted, model_routes, plain_routes, rotates=False):
    return {
        "name": name, "ceiling": ceiling, "weight": weight, "rate": rate, "burst": burst, "calls": calls,
        "models": granted, "model_routes": model_routes, "plain_routes": plain_routes, "rotates": rotates,
    }


def write_gaspruef():
    base = models(["report", "answer", "summary", "translate", "extract", "classify"], 30)
    tuned = adapters(base, ["stalls", "kitchens", "tents", "boilers"], 55)
    status, bookings = "/r/pruef-app/status", "/r/pruef-app/bookings"
    certificates = "/r/pruef-app/certificates"
    accounts = [
        client("vendors", "urgent", 4, 24000, 400000, 200, ["*"], ["*"], ["*"], rotates=True),
        client("inspectors", "urgent", 4, 16000, 300000, 150, ["*"], ["*"], ["*"]),
        client("parishes", "normal", 1, 3000, 60000, 30,
               ["report-1b", "report-3b", "report-8b", "report-8b:*", "answer-3b", "answer-3b:*"],
               [CHAT, LIST], [status, bookings]),
        client("insurers", "normal", 1, 2000, 60000, 20,
               ["summary-8b", "summary-14b", "extract-3b"], [CHAT, LIST], [status, certificates]),
        client("archive", "batch", 1, 4000, 80000, 10, ["summary-32b", "classify-1b"], [CHAT, LIST], [status]),
    ]
    model_document(
        "gaspruef", "Gasprüf", "pruef-llm", True, 1.5, base, tuned,
        [route(CHAT, ["POST"], True, "normal", 90_000, batch_ms=1_800_000),
         route(LIST, ["GET"], True, "urgent", 2_000)], accounts)
    plain_document(
        "gaspruef", "Gasprüf", "pruef-app",
        [route(status, ["GET"], True, "urgent", 2_000), route(bookings, ["POST"], False, "normal", 15_000),
         route(certificates, ["POST"], False, "normal", 30_000),
         route("/r/pruef-app/about", ["GET"], True, "normal", 5_000, access="open")], accounts)


def write_kerbrat():
    subjects = ["layout", "quote", "review", "pattern", "glaze", "answer", "summary", "translate", "extract"]
    base = models(subjects, 45)
    tuned = adapters(base, ["nave", "crypt", "kitchen", "bath"], 100)
    status, bookings, orders = "/r/comptoir/status", "/r/comptoir/bookings", "/r/comptoir/orders"
    accounts = [
        client("cathedral", "urgent", 6, 20000, 400000, 100, ["*"], ["*"], ["*"], rotates=True),
        client("workshop", "urgent", 3, 16000, 300000, 300, ["*"], ["*"], ["*"]),
        client("studios", "normal", 2, 6000, 120000, 40,
               ["layout-8b", "layout-8b:*", "layout-14b", "quote-3b", "quote-3b:*", "review-32b"],
               [CHAT, LIST], [status, bookings, orders]),
        client("builders", "normal", 1, 2000, 60000, 20, ["quote-1b", "quote-3b", "answer-8b"],
               [CHAT, LIST], [status, orders]),
        client("reviewers", "batch", 1, 4000, 80000, 10, ["review-14b", "review-32b"], [CHAT, LIST], [status]),
    ]
    model_document(
        "kerbrat", "Kerbrat", "atelier-llm", False, 4, base, tuned,
        [route(CHAT, ["POST"], True, "normal", 90_000, batch_ms=3_600_000),
         route(LIST, ["GET"], True, "urgent", 2_000)], accounts)
    plain_document(
        "kerbrat", "Kerbrat", "comptoir",
        [route(status, ["GET"], True, "urgent", 1_000), route(bookings, ["POST"], False, "normal", 15_000),
         route(orders, ["POST"], False, "normal", 15_000),
         route("/r/comptoir/about", ["GET"], True, "normal", 5_000, access="open")], accounts)


if __name__ == "__main__":
    write_gaspruef()
    write_kerbrat()

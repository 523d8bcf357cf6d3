"""Stand-ins for the platform's store, workers and clients, and the start of real host processes.

Everything runs in one asyncio loop on loopback addresses; the hosts are separate processes.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "zinniahinge-host")
HOST_NAME = "svc.example"


TAKEN = set()


def free_ports(count):
    """First of `count` free ports in a row, below the range of outgoing connections."""
    first = 14000 + (os.getpid() * 37) % 9000
    for base in list(range(first, 30000, count)) + list(range(14000, first, count)):
        if base in TAKEN:
            continue
        held = []
        try:
            for port in range(base, base + count):
                one = socket.socket()
                one.bind(("127.0.0.1", port))
                held.append(one)
            TAKEN.add(base)
            return base
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free ports")


class Record:
    """Lines of what was sent, answered and run; `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


async def read_request(reader):
    """Method, target, headers and body of one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def answer_bytes(status, headers, body):
    head = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers.items():
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Store:
    """The platform's store in memory. `era` is stated in every answer."""

    def __init__(self):
        self.items = {}
        self.changes = []
        self.revision = 1
        self.dropped = 0
        self.leases = {}
        self.next_lease = 100
        self.era = 0
        self.away = False
        self.event = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tick = asyncio.create_task(self.end_lapsed())

    def wake(self):
        self.event.set()
        self.event = asyncio.Event()

    def write(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        if value is None:
            self.items.pop(key, None)
            self.changes.append({"key": key, "revision": revision, "deleted": True})
        else:
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                    "created": old["created"] if old else revision, "lease": lease}
            self.items[key] = item
            self.changes.append(item)
        self.wake()

    def put(self, key, value):
        self.write(key, value if isinstance(value, bytes) else json.dumps(value).encode())

    async def end_lapsed(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [l for l, (ttl, at) in self.leases.items() if now - at >= ttl]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.write(key, None)

    def copy(self):
        return json.loads(json.dumps([self.items, self.changes, self.revision, self.dropped, self.next_lease])), \
            dict(self.leases)

    def return_from(self, copy):
        """Comes back from a copy: what was written since is gone, and the era rises."""
        (self.items, self.changes, self.revision, self.dropped, self.next_lease), leases = \
            json.loads(json.dumps(copy[0])), dict(copy[1])
        self.leases = {lease: (ttl, time.monotonic()) for lease, (ttl, _) in leases.items()}
        self.era += 1
        self.wake()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if self.away:
                    break
                era = self.era
                status, body = await self.answer(*request)
                if self.away or era != self.era:
                    break
                writer.write(answer_bytes(status, {"Content-Type": "application/json", "Store-Era": self.era},
                                          json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, store_revision=self.revision)) if item else (404, {})
        if path == "/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            items = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {"items": items, "truncated": False, "store_revision": self.revision}
        if path == "/kv-watch":
            prefix, after = query.get("path_prefix", ""), int(query["after"])
            until = time.monotonic() + int(query["poll_timeout_ms"]) / 1000
            era = self.era
            while True:
                if after < self.dropped or after > self.revision:
                    return 410, {}
                events = [c for c in self.changes if c["revision"] > after and c["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0 or era != self.era:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.event.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-lease":
            ttl = max(1.0, json.loads(body)["ttl_ms"] / 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic())
            return 200, {"lease": self.next_lease, "ttl_ms": int(ttl * 1000)}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = (self.leases[lease][0], time.monotonic())
            return 200, {"ttl_ms": int(self.leases[lease][0] * 1000)}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            call = json.loads(body)
            for row in call.get("expected", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    keys = [r["key"] for r in call["expected"]]
                    return 412, {"items": [self.items[k] for k in keys if k in self.items]}
            for put in call.get("puts", []):
                if put.get("lease") and put["lease"] not in self.leases:
                    return 404, {}
            self.revision += 1
            revision = self.revision
            for put in call.get("puts", []):
                self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0), revision)
            for key in call.get("remove", []):
                self.write(key, None, 0, revision)
            return 200, {"revision": revision}
        return 404, {}


class Worker:
    """A plain worker. `handle(worker, request, writer)` may take over the answer; it returns True if it did."""

    def __init__(self, store, record, name, service="app", slots=6, work_s=0.02, handle=None, zone="wien-a"):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.slots, self.work_s, self.handle, self.zone = slots, work_s, handle, zone
        self.state, self.seq, self.born = "ready", 0, int(time.time() * 1000)
        self.connections = 0
        self.ran = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.store.away:
                self.beat()

    def beat(self):
        self.seq += 1
        self.store.put("servers/" + self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born})

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, target, headers, body = request
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(answer_bytes(421, {"X-Instance-Id": self.name}, b""))
                elif self.handle and await self.handle(self, request, writer):
                    pass
                else:
                    attempt = headers.get("x-attempt-id", "")
                    self.ran.append((self.record.now(), attempt))
                    self.record.write("worker %s runs %s tenant=%s" % (self.name, attempt, headers.get("x-tenant")))
                    await asyncio.sleep(self.work_s)
                    writer.write(answer_bytes(200, {"X-Attempt-Id": attempt, "X-Response-Seal": "seal." + attempt,
                                                    "Keep-Alive": "timeout=4"}, b"work " + attempt.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()


def config(version, keys=("key-1",), routes=None, rate_per_s=61041, burst=68878):
    """A configuration like that of a small deployment with one plain service."""
    routes = routes or [route("/read/", "idempotent", 2), route("/book/", "non_idempotent", 1)]
    return {
        "version": version, "routes": routes,
        "services": [{"name": "app", "health_path": "/health", "max_conns": 232, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1, "unit": "tokens", "plain_tokens": 200,
                     "rate_per_s": rate_per_s, "burst": burst}]}


def route(prefix, kind, attempts, service="app", timeout_ms=2000, slo_ms=300):
    return {"name": prefix.strip("/"), "host": HOST_NAME, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 2, "service": service, "max_attempts": attempts,
            "anonymous": False, "sticky": False, "can_resume": False}


class HostProcess:
    """One host of the deploy file, with settings like those of the small deployment gaspruef-cloud."""

    def __init__(self, name, store_port, record, folder):
        self.name, self.store_port, self.record, self.folder = name, store_port, record, folder
        self.base = free_ports(12)
        self.front, self.ready = self.base, self.base + 1
        self.process = None
        self.starts = 0

    def settings(self, bootstrap):
        return """node_name = "%s"
role = "host"
machine_class = "front"
served_roles = ["front"]
ip = "127.0.0.1"
zone = "wien-a"
region = "at-east"
port_range = [%d,%d]
seed_nodes = []
bootstrap = %s
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
beat_interval_ms = 1200
active_contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
wien-a = "at-east"
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.17
cpu_cores = 1
memory_limit_mb = 182
max_fds = 2870
link_bw_mbps = 700.0
disk_quota_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_staleness_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_deadline_ms = 4000
catchup_s = 4
drain_deadline_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_deadline_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = true
revoke_deadline_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 122
quota_window_s = 8
quota_over = 0.1
quota_slack = 110000
recovery_s = 12
event_lag_ms = 120
retry_after_s = 0
require_fence = true
lease_ttl_ms = 3000
thaw_slack_ms = 300
ceiling_window_s = 5
ceiling_over = 1.1
[platform]
address = "127.0.0.1:%d"
form = "kv"
puts_per_s = 400
gets_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
""" % (self.name, self.base + 2, self.base + 10, "true" if bootstrap else "false", self.front, self.ready,
            self.store_port)

    async def start(self, bootstrap=False, wait=True):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(bootstrap))
        self.starts += 1
        self.log = os.path.join(self.folder, "%s-%d.log" % (self.name, self.starts))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["ZINNIAHINGE_CONFIG"] = path
        with open(self.log, "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--log-format", "json", cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL)
        self.record.write("host %s started" % self.name)
        if wait:
            await self.wait_ready()

    async def is_ready(self):
        status, _, _ = await ask(self.ready, "GET", "/readiness", {}, limit=1.0)
        return status == 200

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                self.record.write("host %s ready" % self.name)
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.03)
        raise RuntimeError("%s is not ready" % self.name)

    def signal(self, number):
        self.record.write("host %s gets signal %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def memory_kb(self, field):
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0


async def read_answer(reader):
    """Status, headers and body; status None if the connection ended first, body None if it isn't complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None, {}, None
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return status, headers, body
                body += chunk[:-2]
        return status, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, None


async def ask(port, method, path, headers, body=b"", limit=6.0):
    """One request on a connection of its own."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port, limit=1 << 20), 1.0)
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, HOST_NAME)
        for name, value in headers.items():
            head += "%s: %s\r\n" % (name, value)
        writer.write((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)
        return await asyncio.wait_for(read_answer(reader), limit)
    except (OSError, asyncio.TimeoutError):
        return None, {}, None
    finally:
        if writer:
            writer.close()


class Case:
    """Folder, record and clean-up of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="zh-review-")
        self.hosts = []
        self.ids = 0

    def host(self, name, store_port):
        host = HostProcess(name, store_port, self.record, self.folder)
        self.hosts.append(host)
        return host

    async def request(self, host, path="/read/1", key="key-1", method="GET", deadline_ms=4000, headers=None, body=b""):
        self.ids += 1
        attempt = "a%07x" % self.ids
        fields = {"X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms, "Authorization": "Bearer " + key}
        fields.update(headers or {})
        sent = self.record.now()
        self.record.write("client sends %s %s %s to %s" % (attempt, method, path, host.name))
        status, answer, data = await ask(host.front, method, path, fields, body, deadline_ms / 1000 + 1)
        self.record.write("client gets %s for %s from %s: %r" % (status, attempt, host.name, (data or b"")[:80]))
        return sent, attempt, status, answer, data

    async def end(self):
        for host in self.hosts:
            await host.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(self.folder):
                shutil.copy(os.path.join(self.folder, name), keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(file, play):
    """Runs `play(case)`, which returns True if the rule held, and exits with 0, 1, or 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(file))

    async def run():
        # Connections that are open at the end of a case end with it.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        case = Case(folder)
        try:
            held = await asyncio.wait_for(play(case), 110)
            case.record.write("the rule %s" % ("held" if held else "was broken"))
            return 0 if held else 1
        except Exception as error:  # any failure of the set-up
            case.record.write("the case could not run: %r" % error)
            return 2
        finally:
            await case.end()

    sys.exit(asyncio.run(run()))

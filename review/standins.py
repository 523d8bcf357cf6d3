"""Stand-ins of the platform for the cases of this review: store, operator, backend servers, load balancer and clients.

Standard library only. Everything listens on 127.0.0.1 and ends with the script.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "svc.example"
KEY = "key-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IDLE_MS = 30_000

START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def line(self, text):
        self.file.write(f"{now():8.3f}  {text}\n")
        self.file.flush()


# ------------------------------------------------------------------------------------------------- HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def header(self, name):
        return self.headers.get(name, "")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines[1:]:
        name, colon, value = text.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def response(status, headers=(), body=b""):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode() + b"\r\n" + body


def free_ports(count):
    """Neighbouring free ports below the range of outgoing connections."""
    for base in range(14_000 + (os.getpid() * 16) % 12_000, 30_000, 16):
        sockets = []
        try:
            for port in range(base, base + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise OSError("no free ports")


# ------------------------------------------------------------------------------------------------ store


class Store:
    """The platform's metadata store: linearizable, one revision counter, leases, history kept in full."""

    def __init__(self):
        self.items, self.log, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.sweeper = asyncio.create_task(self.sweep())

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, changes):
        """changes: (key, value or None, lease)"""
        self.revision += 1
        for key, value, lease in changes:
            if value is None:
                if self.items.pop(key, None) is None:
                    continue
                self.log.append({"key": key, "revision": self.revision, "deleted": True})
                continue
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.log.append(item)
        self.wake()
        return self.revision

    def put(self, key, value):
        return self.write([(key, json.dumps(value).encode(), 0)])

    def remove(self, key):
        return self.write([(key, None, 0)])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.write([(key, None, 0) for key in keys])

    async def sweep(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [l for l, (_, until) in self.leases.items() if until <= now()]:
                self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, body = await self.answer(request)
                body = b"" if body is None else json.dumps(body).encode()
                writer.write(response(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, request):
        path, query = request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, None) if item is None else (200, dict(item, store_revision=self.revision))
        if path == "/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {"items": found[:500], "truncated": len(found) > 500, "store_revision": self.revision}
        if path == "/kv-watch":
            until = now() + float(query["poll_timeout_ms"]) / 1000
            after, prefix = int(query["after"]), query.get("path_prefix", "")
            while True:
                changed = self.changed
                events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
                if events or now() >= until:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            message = json.loads(request.body)
            expected = message.get("expected", [])
            current = {e["key"]: self.items.get(e["key"]) for e in expected}
            if any((current[e["key"]] or {"revision": 0})["revision"] != e["revision"] for e in expected):
                return 412, {"items": [item for item in current.values() if item]}
            puts = message.get("puts", [])
            if any(put["lease"] and put["lease"] not in self.leases for put in puts):
                return 404, None
            changes = [(put["key"], base64.b64decode(put["value"]), put["lease"]) for put in puts]
            changes += [(key, None, 0) for key in message.get("remove", [])]
            return 200, {"revision": self.write(changes)}
        if path == "/kv-lease":
            ttl = json.loads(request.body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl / 1000, now() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        kind, _, lease = path.rpartition("/")
        if kind == "/kv-keep":
            if int(lease) not in self.leases:
                return 404, None
            ttl, _ = self.leases[int(lease)]
            self.leases[int(lease)] = (ttl, now() + ttl)
            return 200, {"lease": int(lease), "ttl_ms": int(ttl * 1000)}
        if kind == "/kv-lease-end":
            self.end_lease(int(lease))
            return 200, {}
        return 404, None


# ----------------------------------------------------------------------------------------------- worker


class Worker:
    """A model worker. `models` maps a model to the set of its adapters that are loaded."""

    def __init__(self, store, record, name, models, **options):
        self.store, self.record, self.name, self.models = store, record, name, models
        self.slots = options.get("slots", 64)
        self.queue = options.get("queue", 192)
        self.load_s = options.get("load_s", 6.0)
        self.mb = options.get("mb", {})
        self.events = options.get("events", 12)
        self.gap_s = options.get("gap_s", 0.05)
        self.stream = options.get("stream")  # replaces the way in which events are sent
        self.disk = set(options.get("disk", ()))
        self.proxy = options.get("proxy")  # takes the connections to this worker
        self.seq, self.fence, self.busy_until, self.loading = 0, 0, 0.0, None
        self.unloading = None  # model whose unload waits for its runs
        self.users = {}  # number of runs by model
        self.running, self.waiting = 0, 0
        self.freed = asyncio.Event()
        self.born = int(time.time() * 1000)
        self.orders, self.runs, self.rejections = [], [], []
        self.taken = set()  # attempts that were queued or run
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        if self.proxy:
            self.address = f"127.0.0.1:{await self.proxy.start(self.port)}"
        self.beat = asyncio.create_task(self.beats())

    async def beats(self):
        number = 0
        while True:
            number += 1
            self.finish_orders()
            self.store.put(f"servers/{self.name}", {
                "service": "llm", "address": self.address, "zone": "zone-a", "version": "1",
                "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": number, "born": self.born,
                "stage": "colocated", "models": self.model_list(),
                "resident": {"in_host_memory": [], "on_local_disk": sorted(self.disk)}})
            await asyncio.sleep(1.2)

    def crash(self):
        """The process dies: its connections are reset, and it accepts none."""
        self.record.line(f"worker {self.name} crashes")
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def finish_orders(self):
        """Applies a load whose time is over, and an unload whose runs have ended."""
        if self.loading and now() >= self.busy_until:
            self.models.setdefault(self.loading, set())
            self.disk.add(self.loading)
            self.loading = None
        if self.unloading and not self.users.get(self.unloading):
            self.models.pop(self.unloading, None)
            self.unloading = None

    def model_list(self):
        return [{"name": m, "version": 1, "adapters": sorted(a)} for m, a in sorted(self.models.items())]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.finish_orders()
                if request.header("x-expect-instance") not in ("", self.name):
                    writer.write(response(421, self.identity(request)))
                elif request.path == "/report":
                    writer.write(response(200, [], json.dumps(self.report()).encode()))
                elif request.path == "/order":
                    writer.write(response(self.order(json.loads(request.body))))
                elif not await self.run(request, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def identity(self, request):
        return [("X-Attempt-Id", request.header("x-attempt-id")), ("X-Not-Executed", "1")]

    def report(self):
        return {"stage": "colocated", "models": self.model_list(), "busy": bool(self.loading or self.unloading),
                "seq": self.seq, "born": self.born, "queued": self.waiting, "running": self.running,
                "kv_used_tokens": 0, "kv_total_tokens": 232000, "loaded": 0, "pending": [],
                "resident": {"in_host_memory": [], "on_local_disk": sorted(self.disk)}}

    def order(self, order):
        status = self.apply(order)
        self.orders.append((now(), order, status))
        name = order["model"] + ("/" + order["adapter"] if order.get("adapter") else "")
        self.record.line(f"worker {self.name}: order {order['op']} {name} from {order['holder']}"
                         f" fence {order['fence']} expected {order.get('expected')} -> {status}")
        return status

    def apply(self, order):
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order.get("expected") not in (None, self.seq) or self.loading or self.unloading:
            return 409
        model, adapter = order["model"], order.get("adapter")
        if order["op"] == "load":
            if adapter is None:
                if model in self.models:
                    return 200
                self.loading, self.busy_until = model, now() + (0.8 if model in self.disk else self.load_s)
            else:
                if adapter in self.models.get(model, ()):
                    return 200
                self.models[model].add(adapter)
        elif adapter is None:
            self.unloading = model
            self.finish_orders()
        else:
            self.models.get(model, set()).discard(adapter)
            self.seq += 1
            return 200
        self.seq += 1
        return 202

    def has(self, name):
        model, _, adapter = name.partition("/")
        return model in self.models and (not adapter or adapter in self.models[model])

    async def run(self, request, reader, writer):
        """Answers one request; false if its connection ends."""
        attempt, name = request.header("x-attempt-id"), request.header("x-model")
        model = name.partition("/")[0]
        if model in (self.loading, self.unloading):
            status = 503  # until the order is complete
        elif not self.has(name):
            status = 421
        else:
            status = 503 if self.running >= self.slots and self.waiting >= self.queue else 0
        if status:
            self.rejections.append(attempt)
            self.record.line(f"worker {self.name}: {attempt} rejected, {status}, not run")
            writer.write(response(status, self.identity(request)))
            return True
        self.taken.add(attempt)
        self.users[model] = self.users.get(model, 0) + 1
        self.waiting += 1
        try:
            while self.running >= self.slots:
                self.freed.clear()
                await self.freed.wait()
        finally:
            self.waiting -= 1
        self.running += 1
        after = request.header("last-event-id")
        self.runs.append((now(), attempt, after))
        self.record.line(f"worker {self.name}: {attempt} runs, {name}" + (f", after event {after}" if after else ""))
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
                         + f"X-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{attempt}\r\n\r\n".encode())
            if self.stream:
                return await self.stream(self, writer, int(after or 0))
            for number in range(int(after or 0) + 1, self.events + 1):
                await self.chunk(writer, f"id: {number}\ndata: piece {number}\n\n")
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.running -= 1
            self.users[model] -= 1
            self.freed.set()
            self.record.line(f"worker {self.name}: {attempt} ends")

    async def chunk(self, writer, text):
        data = text.encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await writer.drain()


class Proxy:
    """Passes connections on to a worker. Those that are open can be made silent for good; new ones work."""

    def __init__(self):
        self.silent = set()
        self.open = set()

    async def start(self, port):
        self.target = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def silence(self):
        self.silent |= self.open

    async def serve(self, reader, writer):
        name = object()
        self.open.add(name)
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    if name in self.silent:
                        return  # neither this nor anything later gets through, and no end is passed on either
                    sink.write(data)
                    await sink.drain()
                if name not in self.silent:
                    sink.close()
            except ConnectionError:
                if name not in self.silent:
                    sink.close()

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        self.open.discard(name)
        if name in self.silent:
            await asyncio.sleep(3600)


# --------------------------------------------------------------------------------------------- operator


def route(prefix, kind="streaming", **options):
    fields = {"name": prefix, "host": HOST, "path_prefix": prefix, "service": "llm", "kind": kind,
              "timeout_ms": 17000, "slo_ms": 2500, "target_gap_ms": 600, "max_attempts": 2, "priority": 1,
              "anonymous": False, "sticky": True, "can_resume": True}
    return dict(fields, **options)


def config(models, version=1, routes=None, slots=64):
    return {
        "version": version,
        "routes": routes or [route("/reports/")],
        "services": [{"name": "llm", "health_path": "/health", "max_conns": 781, "engine": {
            "slots": slots, "kv_capacity": 232000, "mb": 200000.0, "max_adapters": 8, "loads_per_s": 1.6,
            "models": [{"name": m, "mb": 65100.0, "load_time_s": 6.0, "adapters": 4, "adapter_size_mb": 12.0,
                        "warmup_s": 0.38, "disk_load_s": 0.76} for m in models]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_000_000, "header_timeout_ms": 5000,
                   "idle_timeout_ms": IDLE_MS},
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1, "unit": "tokens", "plain_tokens": 200,
                     "rate_per_s": 0, "burst": 0}]}


# ------------------------------------------------------------------------------------------------ hosts


class Host:
    """One host process, started with the command of deploy/system.toml."""

    def __init__(self, folder, store, record, name, port, bootstrap=True):
        self.name, self.port, self.record = name, port, record
        self.ready_port = port + 1
        settings = os.path.join(folder, f"{name}.toml")
        with open(settings, "w") as file:
            file.write(
                f'node_name = "{name}"\nrole = "host"\nmachine_class = "front"\nserved_roles = ["front"]\n'
                f'ip = "127.0.0.1"\nzone = "zone-a"\nregion = "region-a"\nport_range = [{port + 2},{port + 7}]\n'
                f'seed_nodes = []\nbootstrap = {"true" if bootstrap else "false"}\nloss_counts = false\ndiscovery = "platform"\n'
                f'entry = "virtual_ip"\nbeat_interval_ms = 1200\n'
                'active_contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine",'
                '"tenants","quota","platform"]\n'
                f'[zones]\nzone-a = "region-a"\n'
                f'[listen]\nfront = "127.0.0.1:{port}"\nready = "127.0.0.1:{port + 1}"\n'
                '[limits]\ncpu_share = 1.0\ncpu_cores = 1\nmemory_limit_mb = 182\nmax_fds = 2870\n'
                'link_bw_mbps = 700.0\ndisk_quota_mb = 0\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n'
                '[bounds]\nseed_staleness_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_deadline_ms = 4000\n'
                'catchup_s = 4\ndrain_deadline_ms = 2000\ngrace_period_s = 8\nloss_slack_ms = 200\n'
                'config_deadline_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\nstrict_revoke = true\n'
                'revoke_deadline_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra = 122\n'
                'quota_window_s = 8\nquota_over = 0.1\nquota_slack = 110000\nrecovery_s = 12\nevent_lag_ms = 120\n'
                'retry_after_s = 0\nrequire_fence = true\nlease_ttl_ms = 3000\nthaw_slack_ms = 300\n'
                'ceiling_window_s = 5\nceiling_over = 1.1\n'
                f'[platform]\naddress = "127.0.0.1:{store.port}"\nform = "kv"\nputs_per_s = 400\ngets_per_s = 2000\n'
                'retention_s = 20\nmax_value_bytes = 1048576\nmin_ttl_ms = 1000\n')
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = subprocess.Popen(
            ["target/release/zinniahinge-host", "--log-format", "json"], cwd=ROOT, stdin=subprocess.DEVNULL,
            env=dict(keep, ZINNIAHINGE_CONFIG=settings), stdout=open(self.log_path, "w"), stderr=subprocess.STDOUT)
        self.in_rotation, self.misses = False, 0
        self.ended_at = None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready_port), 0.5)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return " 200 " in first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def probe(self):
        """The load balancer: one probe a second; two misses take the host out of rotation."""
        while True:
            ready = await self.is_ready()
            self.misses = 0 if ready else self.misses + 1
            if ready != self.in_rotation and (ready or self.misses >= 2):
                self.in_rotation = ready
                self.record.line(f"balancer: {self.name} {'in' if ready else 'out of'} rotation")
            await asyncio.sleep(1.0)

    async def watch_end(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.ended_at = now()
        self.record.line(f"process of {self.name} has ended, code {self.process.returncode}")

    def signal(self, number):
        self.record.line(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def log_lines(self, text):
        with open(self.log_path) as file:
            return [line for line in file if text in line]


# ---------------------------------------------------------------------------------------------- clients


class Answer:
    def __init__(self, attempt):
        self.attempt = attempt
        self.status, self.headers, self.body, self.complete = None, {}, b"", False
        self.end = "open"

    @property
    def text(self):
        return f"{self.status or 'no answer'}, {'complete' if self.complete else 'incomplete'}, {self.end}"


class Client:
    """One connection of a client. It stays with its host and carries one request at a time."""

    def __init__(self, host, record):
        self.host, self.record = host, record

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.host.port)
        return self

    async def ask(self, attempt, model, path="/reports/x", deadline_ms=17000, last_event=None, tokens="2890,52"):
        answer = Answer(attempt)
        body = b"prompt " * 100
        head = (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n")
        if model:
            head += (f"X-Model: {model}\r\nX-Token-Counts: {tokens}\r\n"
                     f"X-Prompt-Prefix: {abs(hash(attempt)) & 0xffffffff:x}:2890\r\n")
        if last_event:
            head += f"Last-Event-Id: {last_event}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)
        await self.writer.drain()
        answer.sent_at = now()
        self.record.line(f"client sends {attempt} ({model}) to {self.host.name}")
        try:
            await asyncio.wait_for(self.read(answer), deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer.end = "client's deadline reached"
        except asyncio.IncompleteReadError:
            answer.end = "connection closed by the host"
        except ConnectionError:
            answer.end = "connection reset by the host"
        answer.ended_at = now()
        self.record.line(f"client: {attempt} at {self.host.name}: {answer.text}, after {answer.ended_at - answer.sent_at:.3f} s"
                         + (f", Retry-After {answer.headers['retry-after']}" if 'retry-after' in answer.headers else ""))
        if answer.end != "answered" or answer.headers.get("connection") == "close":
            self.writer.close()
        return answer

    async def read(self, answer):
        first, answer.headers = await read_head(self.reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete, answer.end = True, "answered"


# ---------------------------------------------------------------------------------------------- fixture


class World:
    """Store, workers and hosts of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.store, self.workers, self.hosts, self.tasks = Store(), [], [], []

    async def start(self, models, workers, hosts=3, **options):
        await self.store.start()
        self.store.put("op/config", config(models, **options))
        for worker in workers(self):
            await worker.start()
            self.workers.append(worker)
        base = free_ports(8 * hosts)
        for index in range(hosts):
            self.hosts.append(Host(self.temp, self.store, self.record, f"front-{index + 1}", base + 8 * index))
        for host in self.hosts:
            self.tasks += [asyncio.create_task(host.probe()), asyncio.create_task(host.watch_end())]
        until = now() + 25
        while not all(host.in_rotation for host in self.hosts):
            if now() > until:
                raise RuntimeError("hosts are not ready")
            await asyncio.sleep(0.05)

    def holder(self):
        """The host whose orders workers saw last."""
        orders = [order for worker in self.workers for order in worker.orders]
        return max(orders, key=lambda order: order[0])[1]["holder"] if orders else None

    def close(self):
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.kill()
            host.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def main(folder, scenario, limit_s=105):
    """Runs `scenario(world)`, which returns what broke the rule; exits with 0, 1, or 2 if the case couldn't run."""
    world = World(folder)

    def end(code, lines):
        """Ends the hosts, and the process without waiting for tasks that still serve them."""
        for text in lines:
            world.record.line(text)
        world.close()
        world.record.line({0: "rule held", 1: "rule broken", 2: "case could not run"}[code])
        os._exit(code)

    async def play():
        task = asyncio.create_task(scenario(world))
        await asyncio.wait({task}, timeout=limit_s)
        if not task.done():
            end(2, ["could not run: not over in time"])
        if task.exception() is not None:
            end(2, [f"could not run: {task.exception()!r}"])
        broken = task.result()
        end(1 if broken else 0, [f"BROKEN: {text}" for text in broken])

    # Ends the hosts also if the script is stopped or hangs.
    signal.signal(signal.SIGTERM, lambda *_: end(2, ["stopped"]))
    signal.signal(signal.SIGALRM, lambda *_: end(2, ["could not run: hung"]))
    signal.alarm(limit_s + 8)
    try:
        asyncio.run(play())
    except BaseException as error:  # the case couldn't run
        end(2, [f"could not run: {error!r}"])

"""Stand-ins for the platform's store and for engines, and a starter for entries.

All of them listen on loopback addresses that no other run uses, with free ports. They do what the
users' pages say and no more.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KEY = "key-of-kakheti"
HOST = "callers.example"

STARTED = time.monotonic()


def elapsed():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run into a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{elapsed():8.3f} s  {text}\n")
        self.file.flush()


def addresses(count):
    """Returns loopback addresses that belong to this process alone."""
    run = os.getpid() % 62_000
    return [f"127.{60 + run // 250 % 60}.{run % 250 + 1}.{host + 1}" for host in range(count)]


def free_port(ips, kind=socket.SOCK_STREAM):
    """Returns a port that is free on all the addresses."""
    for port in range(20_000 + os.getpid() % 10_000, 60_000):
        try:
            for ip in ips:
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
    raise OSError("no free port")


def deploy_command():
    """Returns the command of the deploy file's role."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
        run = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1)
    return [os.path.join(REPOSITORY, run.split()[0]), *run.split()[1:]]


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Caller:
    """Sends one request on a connection of its own and collects what comes back."""

    def __init__(self):
        self.data = b""
        self.ended = None

    async def call(self, entry, text, limit):
        """Returns whether the whole answer came within `limit` seconds."""
        writer = None
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(entry.ip, entry.ports["front"])
                writer.write(text)
                while not self.is_whole():
                    part = await reader.read(65_536)
                    if not part:
                        self.ended = "closed"
                        break
                    self.data += part
        except TimeoutError:
            self.ended = "no end in time"
        except OSError as error:
            self.ended = f"{type(error).__name__}"
        finally:
            if writer:
                writer.close()
        return self.is_whole()

    @property
    def status(self):
        return int(self.data[9:12]) if self.data.startswith(b"HTTP/1.1 ") else 0

    def head(self):
        return self.data.partition(b"\r\n\r\n")[0].decode("latin-1").lower()

    def body(self):
        return self.data.partition(b"\r\n\r\n")[2]

    def is_whole(self):
        if b"\r\n\r\n" not in self.data:
            return False
        length = re.search(r"content-length: (\d+)", self.head())
        if length:
            return len(self.body()) >= int(length.group(1))
        return self.data.endswith(b"0\r\n\r\n")

    def events(self):
        """Returns the id and the data of each event received."""
        found = re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", self.data)
        return [(int(number), data.decode()) for number, data in found]

    def retry_after(self):
        found = re.search(r"retry-after: ([\d.]+)", self.head())
        return float(found.group(1)) if found else 0.0


def run(case, record_path):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run."""
    record = Record(record_path)
    deployments = []

    async def guarded():
        try:
            return 1 if await case(record, deployments) else 0
        except Exception:  # noqa: BLE001
            record.line("the case could not run:\n" + traceback.format_exc())
            traceback.print_exc()
            return 2
        finally:
            for deployment in deployments:
                deployment.stop()

    def interrupted(*_):
        for deployment in deployments:
            deployment.stop()
        os._exit(2)

    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    code = asyncio.run(finish(guarded(), record))
    os._exit(code)


async def finish(running, record):
    code = await running
    record.line(f"exit {code}")
    sys.stdout.flush()
    # What the stand-ins still wait for ends with the process.
    os._exit(code)


class Store:
    """The platform's store: items, revisions, pages and watches."""

    def __init__(self, ip):
        self.ip = ip
        self.items = {}
        self.history = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.mode = "up"

    async def start(self):
        self.port = free_port([self.ip])
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, key, value):
        self.revision += 3
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = (data, self.revision)
        self.history.append((self.revision, key, data))
        self.notify()
        return self.revision

    def remove(self, key):
        self.revision += 3
        self.items.pop(key, None)
        self.history.append((self.revision, key, None))
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def item(key, data, revision):
        if data is None:
            return {"key": key, "revision": revision, "removed": True}
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "revision": revision, "createRev": revision, "lease": 0}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                status, body = await self.answer(head[0].split()[1])
                text = json.dumps(body).encode()
                line = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(text)}\r\n\r\n"
                writer.write(line.encode() + text)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, target):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        await asyncio.sleep(0.004)
        if self.mode == "silent":
            await asyncio.sleep(3_600)
        if self.mode == "busy":
            return 503, {}
        if parts.path == "/v1/kv-range":
            return 200, self.range(query)
        if parts.path == "/v1/kv-watch":
            return await self.watch(query)
        return 404, {}

    def range(self, query):
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
        items = [self.item(key, *self.items[key]) for key in keys[:500]]
        return {"items": items, "morePages": len(keys) > 500, "storeRevision": self.revision}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            changed = self.changed
            events = [
                self.item(key, data, revision)
                for revision, key, data in self.history
                if revision > after and key.startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine:
    """An engine or a plain service. `handle` writes its answers."""

    def __init__(self, store, ip, ident, service, record, version="v1", slots=64, zone="a"):
        self.store, self.ip, self.ident, self.service = store, ip, ident, service
        self.record, self.version, self.slots, self.zone = record, version, slots, zone
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.port = None
        self.tasks = set()
        self.writers = set()
        self.runs = []
        self.handle = None
        self.server = None

    async def start(self):
        if self.port is None:
            self.port = free_port([self.ip])
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20, reuse_address=True
        )
        self.register()

    def register(self, state="ready", **fields):
        self.sequence += 1
        self.store.put(
            f"servers/{self.ident}",
            {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                **fields,
            },
        )

    def crash(self):
        """Ends at once: its connections are reset, and nothing listens any more."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def restart(self, version=None):
        """Starts again under the same id and address."""
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.version = version or self.version
        await self.start()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split()
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                meant = headers.get("comfreyhaven-expect-instance")
                ident = headers.get("comfreyhaven-request-id", "")
                if meant not in (None, self.ident):
                    echo = f"comfreyhaven-request-id: {ident}\r\n" if ident else ""
                    writer.write(f"HTTP/1.1 421 X\r\n{echo}content-length: 0\r\n\r\n".encode())
                    continue
                if target == "/v1/hold-take":
                    text = b'{"hold":"h1"}'
                    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(text) + text)
                    continue
                if target == "/v1/report":
                    text = json.dumps({"born": self.born, "runs": []}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(text) + text)
                    continue
                self.runs.append(ident)
                await self.handle(self, method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def head(self, headers, extra=""):
        return (
            "HTTP/1.1 200 OK\r\n"
            f"comfreyhaven-request-id: {headers['comfreyhaven-request-id']}\r\n"
            f"comfreyhaven-server-seal: seal-{self.ident}-{self.version}\r\n{extra}\r\n"
        ).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Entry:
    """An entry, started with the command of the deploy file."""

    def __init__(self, name, ip, seeds, store, ports, folder, first=True, memory=260, zone="a", extra=""):
        self.name, self.ip, self.ports = name, ip, ports
        with open(os.path.join(REPOSITORY, "platform", "entry.ini"), encoding="utf-8") as file:
            template = file.read()
        values = {
            "nodeName": name,
            "zone": zone,
            "listen.front": f"{ip}:{ports['front']}",
            "listen.ready": f"{ip}:{ports['ready']}",
            "ip": ip,
            "internalPortRange.0": str(ports["peer"]),
            "internalPortRange.1": str(ports["peer"] + 15),
            "seedNodes": ",".join(f"{seed}:{ports['control']}" for seed in seeds),
            "platform.address": f"{store.ip}:{store.port}",
            "limits.cpuShare": "0.19",
            "limits.memoryMb": str(memory),
            "bootstrap": "true" if first else "false",
            "bounds.quotaWindowS": "8",
            "bounds.quotaOverage": "0.25",
            "bounds.quotaSlack": "140000",
            "bounds.revokeMs": "5000",
            "bounds.drainTimeoutMs": "2000",
            "bounds.gracePeriodS": "8",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retryBudgetSlack": "52",
            "bounds.coldOverage": "1.5",
            "bounds.coldSlack": "5",
        }
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match.group(1)], template)
        # The port of the metrics is fixed in the template; a free one is used here.
        text = text.replace(":9464", f":{ports['metrics']}")
        self.settings = os.path.join(folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        environment = {"COMFREYHAVEN_SETTINGS": self.settings, "PATH": os.environ["PATH"]}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                deploy_command(), cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self, timeout=1.0):
        try:
            opening = asyncio.open_connection(self.ip, self.ports["ready"])
            reader, writer = await asyncio.wait_for(opening, timeout)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), timeout)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def metrics(self):
        reader, writer = await asyncio.open_connection(self.ip, self.ports["metrics"])
        writer.write(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        return text


class Deployment:
    """A store, engines and entries."""

    def __init__(self, record, entries=1, engines=3):
        ips = addresses(1 + entries + engines)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = record
        self.store = Store(ips[0])
        self.entry_ips, self.engine_ips = ips[1 : 1 + entries], ips[1 + entries :]
        self.entries, self.engines = [], []

    async def start_store(self, configuration):
        await self.store.start()
        self.store.put("op/config", configuration)

    async def add_engine(self, service, handle, **fields):
        index = len(self.engines)
        engine = Engine(self.store, self.engine_ips[index], f"i-{index}", service, self.record, **fields)
        engine.handle = handle
        await engine.start()
        self.engines.append(engine)
        return engine

    async def start_entries(self, **fields):
        ips = self.entry_ips
        ports, base = {}, 0
        for name in ("front", "ready", "control", "metrics", "peer"):
            port = free_port(ips)
            while port in ports.values():
                port += 1
            ports[name] = max(port, base)
            base = ports[name] + 1
        for index, ip in enumerate(ips):
            entry = Entry(f"entry-{index}", ip, ips[:3], self.store, ports, self.folder, **fields)
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await entry.wait_ready()

    def stop(self):
        for entry in self.entries:
            entry.stop()
        for engine in self.engines:
            if engine.server:
                engine.server.close()
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def route(name, prefix, kind, service, timeout, attempts=1, target=2_000, **fields):
    return {
        "name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout,
        "targetLatencyMs": target, "priority": 0, "service": service, "maxAttempts": attempts,
        "public": False, "sticky": False, **fields,
    }


def service(name, slots=64, **fields):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 600, "coldS": 0.0,
            "coldPerS": 0.0, **fields}


def configuration(version, routes, services, keys=(KEY,), idle=15_000, **limits):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 32_768, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 5_000,
                   "idleTimeoutMs": idle, **limits},
        "tenants": [{"name": "kakheti", "apiKeys": list(keys), "priority": 1, "unit": "tokens",
                     "plainTokens": 200, "ratePerS": 0, "burst": 0}],
    }


def request(method, path, ident, deadline=12_000, body=b"", key=KEY, **headers):
    lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", f"comfreyhaven-request-id: {ident}",
             f"comfreyhaven-deadline-ms: {deadline}"]
    if key:
        lines.append(f"authorization: Token {key}")
    if method == "POST":
        lines.append(f"content-length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

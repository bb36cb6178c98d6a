"""Stand-ins for the platform, the engines and the clients, and the start of real entries.

Only the standard library is used. Everything listens on loopback addresses of its own.
"""
import asyncio, base64, json, os, random, re, signal, socket, struct, subprocess, sys, tempfile, time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
KEY = "i9n73hh2b9wu3fexd9dn"
HOST = "ficu95.example"
TENANT = "hule930"
# Bounds of a small deployment, as the settings example of DEPLOY.md has them.
BOUNDS = {
    "drainTimeoutMs": 2000, "gracePeriodS": 8, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 52, "quotaWindowS": 8, "quotaOverage": 0.25,
    "quotaSlack": 140000, "coldOverage": 1.5, "coldSlack": 5,
}
CONTACT_S = 3.0  # contactMs of the same example

START = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")
        self.file.flush()


def loopback():
    """Returns three octets of loopback addresses that nobody listens on."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(50):
        net = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        try:
            for host in range(1, 10):
                for port in (9464, 8221, 8224, 7600):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# --- HTTP -------------------------------------------------------------------------------------

async def read_head(reader):
    """Reads a head. Returns its first line and its headers, names in lower case, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body that has a length or chunks. Raises an error if it is not complete."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class Server:
    """Listens on one address and remembers its open connections."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.open = set()

    async def listen(self, limit=1 << 20):
        try:
            self.server = await asyncio.start_server(self._serve, *self.address, limit=limit)
        except OSError as error:
            raise CannotRun(f"cannot listen on {self.address}: {error}")

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()

    def stop(self):
        """Stops listening and resets all connections, as a crash does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            reset(writer)


# --- the platform's store -----------------------------------------------------------------------

class Store(Server):
    """The store of PROTOCOL.md, as far as the system reads it."""

    def __init__(self, address):
        super().__init__(address)
        self.revision = 10
        self.items = {}
        self.history = []
        self.era = 0
        self.up = asyncio.Event()
        self.up.set()
        self.changed = asyncio.Condition()

    def copy(self):
        return self.revision, dict(self.items), list(self.history)

    def restore(self, copy):
        """Comes back from a copy: revisions are given out again, in the next era."""
        self.revision, self.items, self.history = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1

    def go_down(self):
        """Falls silent. What is written meanwhile by engines waits."""
        self.up.clear()

    async def put(self, key, value):
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision, "createRev": self.revision, "lease": 0}
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            await self._publish({"key": key, "revision": self.revision, "removed": True})

    async def _publish(self, event):
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            if not self.up.is_set():
                # A store that is down is silent.
                await reader.read()
                return
            target = urlsplit(head[0].split()[1])
            query = {name: values[0] for name, values in parse_qs(target.query).items()}
            if target.path == "/v1/kv-range":
                body = self.range(query)
            elif target.path == "/v1/kv-watch":
                body = await self.watch(query)
            else:
                body = None
            if not self.up.is_set():
                await reader.read()
                return
            status = "200 OK"
            if body is None:
                status = "404 Not Found"
            elif body == "gone":
                status, body = "410 Gone", None
            data = json.dumps(body).encode() if body is not None else b""
            era = f"Store-Era: {self.era}\r\n" if self.era else ""
            writer.write(f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{era}"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()

    def range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
        page = keys[:50]
        return {"items": [self.items[key] for key in page], "morePages": len(keys) > len(page),
                "storeRevision": self.revision}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["waitMs"]) / 1000
        if after > self.revision:
            return "gone"
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# --- engines ------------------------------------------------------------------------------------

class Engine(Server):
    """An engine. `version` is that of its software; each start is a new incarnation."""

    def __init__(self, address, ident, service, store, record, version="v1", slots=64):
        super().__init__(address)
        self.ident, self.service, self.store, self.record = ident, service, store, record
        self.version, self.slots = version, slots
        self.sequence = 0
        self.born = 0
        self.runs = {}       # id of a request -> number of runs
        self.events = 40     # events of a stream
        self.interval = 0.1  # seconds between two of them
        self.answer = b"x" * 800
        self.work = 0.03
        self.beating = None

    async def start(self, version=None):
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.listen()
        self.beating = asyncio.create_task(self.beat())
        self.record(f"engine {self.ident} starts, version {self.version}, born {self.born}")

    async def beat(self):
        """Writes its entry at once and with each heartbeat, while it reaches the store."""
        while True:
            await self.store.up.wait()
            self.sequence += 1
            await self.store.put(f"servers/{self.ident}", {
                "service": self.service, "address": "%s:%d" % self.address, "zone": "coimbra-a",
                "version": self.version, "slots": self.slots, "state": "ready",
                "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(1.2)

    def crash(self):
        self.record(f"engine {self.ident} crashes")
        if self.beating:
            self.beating.cancel()
        self.stop()

    def head(self, ident, status="200 OK", more=""):
        return (f"HTTP/1.1 {status}\r\nComfreyhaven-Request-Id: {ident}\r\n"
                f"Comfreyhaven-Instance-Id: {self.ident}\r\n{more}").encode()

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, headers = head
            method, target, _ = line.split(" ", 2)
            body = await self.read_request(reader, headers)
            ident = headers.get("comfreyhaven-request-id")
            if target == "/v1/report":
                data = json.dumps({"phase": "both", "models": [], "busy": False, "sequence": 0, "queued": 0,
                                   "active": 0, "kvUsed": 0, "kvTotal": 1, "handles": 0, "runs": [],
                                   "born": self.born}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
                continue
            expected = headers.get("comfreyhaven-expect-instance", self.ident)
            if expected != self.ident:
                writer.write(self.head(ident, "421 Misdirected Request", "Content-Length: 0\r\n\r\n"))
                await writer.drain()
                continue
            if ident is None:
                writer.write(self.head("-", "400 Bad Request", "Comfreyhaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                await writer.drain()
                continue
            self.runs[ident] = self.runs.get(ident, 0) + 1
            self.record(f"engine {self.ident} ({self.version}) runs {ident} {method} {target}"
                        f" last-event-id {headers.get('last-event-id', '-')}")
            await self.run(writer, ident, target, headers, body)

    async def read_request(self, reader, headers):
        return await read_body(reader, headers)

    async def run(self, writer, ident, target, headers, body):
        if "/stream/" in target:
            await self.stream(writer, ident, headers)
        else:
            await asyncio.sleep(self.work)
            writer.write(self.head(ident, more=f"Comfreyhaven-Server-Seal: seal-{self.ident}\r\n"
                                               f"Content-Length: {len(self.answer)}\r\n\r\n") + self.answer)
            await writer.drain()

    async def stream(self, writer, ident, headers):
        writer.write(self.head(ident, more=f"Comfreyhaven-Server-Seal: seal-{self.ident}\r\n"
                                           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        last = int(headers.get("last-event-id", 0))
        for number in range(last + 1, self.events + 1):
            event = f"id: {number}\ndata: {number} of {self.ident} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.interval)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# --- the configuration ----------------------------------------------------------------------------

def route(name, prefix, kind, service="huvo11a", attempts=1, resumable=False, timeout=12000, public=False):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout,
            "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": attempts,
            "public": public, "sticky": False, "resumable": resumable, "gapTargetMs": 400}


def configuration(version, routes, services=("huvo11a",), keys=(KEY,)):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False,
                      "coldS": 0.0, "coldPerS": 0.0} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1, "unit": "tokens", "plainTokens": 200,
                     "ratePerS": 180368, "burst": 180368}],
    }


# --- entries ----------------------------------------------------------------------------------------

def deploy_command():
    text = (ROOT / "deploy" / "system.toml").read_text()
    return re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()


def render(fields):
    """Fills in the template of the role's settings, as the platform does."""
    text = (ROOT / "platform" / "entry.ini").read_text()
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(fields[m.group(1)]), text)


class Entry:
    """A real entry, started with the command of the deploy file."""

    def __init__(self, ip, seeds, store, folder, record, zone="coimbra-a"):
        self.ip, self.record = ip, record
        self.front, self.ready = (ip, 8221), (ip, 8224)
        self.fields = {
            "nodeName": f"edge-{ip}", "zone": zone, "listen.front": f"{ip}:8221", "listen.ready": f"{ip}:8224",
            "ip": ip, "internalPortRange.0": 7600, "internalPortRange.1": 7615,
            "seedNodes": ",".join(f"{seed}:8229" for seed in seeds), "platform.address": "%s:%d" % store.address,
            "limits.cpuShare": 0.19, "limits.memoryMb": 260,
        } | {f"bounds.{name}": value for name, value in BOUNDS.items()}
        self.path = Path(folder) / f"{ip}.conf"
        self.log = open(Path(folder) / f"{ip}.log", "ab")
        self.process = None

    def start(self, first):
        self.path.write_text(render(self.fields | {"bootstrap": "true" if first else "false"}))
        command = deploy_command()
        program = ROOT / command[0]
        if not program.exists():
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["COMFREYHAVEN_SETTINGS"] = str(self.path)
        self.process = subprocess.Popen([str(program)] + command[1:], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)
        self.record(f"entry {self.ip} starts, process {self.process.pid}")

    def send_signal(self, number):
        self.record(f"entry {self.ip} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        answer = await ask(self.ready, b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1.0)
        return answer.status == 200

    async def wait_ready(self, within=15.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"entry {self.ip} is not ready")


# --- clients ----------------------------------------------------------------------------------------

class Answer:
    """What a client received: `status` is 0 without a head; `whole` states whether the end was received."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.error = 0, {}, b"", False, ""

    def __str__(self):
        return f"status {self.status}, {len(self.body)} bytes, {'whole' if self.whole else 'not whole'} {self.error}"


def request_bytes(method, path, ident, deadline_ms, body=b"", more="", key=KEY):
    authorization = f"Authorization: Token {key}\r\n" if key else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nComfreyhaven-Request-Id: {ident}\r\n"
            f"Comfreyhaven-Deadline-Ms: {deadline_ms}\r\n{authorization}{more}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        answer.error = "closed without an answer"
        return answer
    answer.status, answer.headers = int(head[0].split()[1]), head[1]
    try:
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += part[:-2]
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.whole = True
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        answer.body += getattr(error, "partial", b"")
        answer.error = f"broken: {type(error).__name__}"
    return answer


async def ask(address, request, within):
    """Sends one request on a new connection, and reads the answer."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address, limit=1 << 20), 1.0)
    except (OSError, asyncio.TimeoutError):
        answer.error = "no connection"
        return answer
    try:
        writer.write(request)
        await asyncio.wait_for(read_answer(reader, answer), within)
    except asyncio.TimeoutError:
        answer.error = "the deadline passed"
    except (ConnectionError, OSError) as error:
        answer.error = f"broken: {type(error).__name__}"
    finally:
        writer.transport.abort()
    return answer


# --- a case -----------------------------------------------------------------------------------------

def run_case(folder, case, limit=110):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    entries = []
    with tempfile.TemporaryDirectory() as temporary:
        async def run():
            return await asyncio.wait_for(case(record, trouble, loopback(), temporary, entries), limit)
        loop = asyncio.new_event_loop()
        try:
            broken, text = loop.run_until_complete(run())
            code = 1 if broken else 0
        except Exception as error:
            text, code = f"the case could not run: {error!r}", 2
        finally:
            for entry in entries:
                entry.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(temporary).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    record(f"{text}; exit {code}")
    print(text, flush=True)
    # The stand-ins end with this process.
    os._exit(code)

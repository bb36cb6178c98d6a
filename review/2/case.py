"""A part of prompts with 24 parts crashes one engine after the other, and is never held."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import *

# The parts that sound requests and crashing ones share, and the one that crashes engines.
SHARED = """
    52e6b438 f2a74de4 269e0d37 6513270e a6a3a450 0c5c7fd0 128b2f33 d23f0824
    892f902b 1818e811 5d9dc9f8 9531985d 0ed90475 e8e25d94 81e74ef5 36f675cc
    099950d8 1600a35a 6f03675a 6b0d549b 11e20b8f 3d9c1724
""".split()
CRASHING = "71ef5e7a"
PARTS = len(SHARED) + 2  # with the crashing or an ordinary one, and the request's own
LASTS_S = 26.0
EVERY_S = 0.15           # between two requests; each twelfth holds the crashing part
ALLOWED = 3              # "More than three requests"
BACK_S = 3.0             # "the engine is back after some seconds"


class FragileEngine(Engine):
    """Crashes when it begins to write an answer on the crashing part."""

    reached, crashes = [], []
    fragile = True

    async def run(self, writer, ident, target, headers, body):
        parts = [entry.split(":")[0] for entry in headers["comfreyhaven-prompt-prefix"].split(",")]
        if CRASHING not in parts[:-1]:
            return await super().run(writer, ident, target, headers, body)
        self.reached.append(time.monotonic())
        if not self.fragile:
            return await super().run(writer, ident, target, headers, body)
        await asyncio.sleep(0.1)
        self.crashes.append(time.monotonic())
        self.crash()
        asyncio.get_running_loop().call_later(BACK_S, lambda: asyncio.create_task(self.start()))


async def case(record, trouble, net, folder, entries):
    store = Store((f"{net}.1", 8225))
    await store.listen()
    engines = [FragileEngine((f"{net}.2", 8080 + n), f"i-{n}", "huvo11a", store, record) for n in range(6)]
    FragileEngine.fragile = trouble
    routes = [route("plan", "/stream/", "streaming", attempts=2, resumable=True)]
    await store.put("op/config", configuration(7, routes))
    for engine in engines:
        engine.events, engine.interval = 30, 0.05
        await engine.start()
    ips = [f"{net}.4", f"{net}.5"]
    entries += [Entry(ip, ips, store, folder, record) for ip in ips]
    for entry in entries:
        entry.start(first=True)
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(3.5)

    rng, broken_off = random.Random(1), []

    async def client(number):
        crashing = number % 12 == 0
        middle = CRASHING if crashing else f"{rng.getrandbits(32):08x}"
        parts = SHARED[:12] + [middle] + SHARED[12:] + [f"{rng.getrandbits(32):08x}"]
        prefix = ",".join(f"{part}:50" for part in parts)
        more = (f"Comfreyhaven-Model: m\r\nComfreyhaven-Token-Count: {50 * len(parts)},180\r\n"
                f"Comfreyhaven-Prompt-Prefix: {prefix}\r\n")
        ident, entry = f"{'crashing' if crashing else 'sound'}{number}", entries[number // 12 % 2 if crashing else number % 2]
        answer = await ask(entry.front, request_bytes("POST", f"/stream/{number}", ident, 12000,
                                                      b"question %d" % number, more), 12.0)
        record(f"{ident} to {entry.ip}: {answer}")
        if not crashing and answer.status == 200 and not answer.whole:
            broken_off.append(ident)

    asking, end, number = [], time.monotonic() + LASTS_S, 0
    while time.monotonic() < end:
        number += 1
        asking.append(asyncio.create_task(client(number)))
        await asyncio.sleep(EVERY_S)
    for task in asking:
        await task
    reached, crashes = FragileEngine.reached, FragileEngine.crashes
    fifth = crashes[4] if len(crashes) > 4 else float("inf")
    late = sum(at > fifth + CONTACT_S for at in reached)
    return late > ALLOWED, (f"{len(crashes)} crashes; {late} requests with the part reached engines later than contactMs"
                            f" after the fifth; {len(broken_off)} sound streams were broken off ({PARTS} parts a prompt)")


run_case(Path(__file__).parent, case)

"""Streams that a rolling restart cuts off cannot be taken up at any entry."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import *

STREAMS = 16
LEAST = 12        # "Of 12 or more streams"
TRIES = 4
GAP_S = 1.3       # between two machines, as in the site's roll_term
RESTART_S = 0.3   # "restarted after a short delay"


async def case(record, trouble, net, folder, entries):
    store = Store((f"{net}.1", 8225))
    await store.listen()
    engines = [Engine((f"{net}.2", 8080 + n), f"i-{n}", "huvo11a", store, record) for n in range(3)]
    for engine in engines:
        engine.events = 130  # 13 s
    routes = [route("plan", "/stream/", "streaming", attempts=2, resumable=True, timeout=15000)]
    await store.put("op/config", configuration(7, routes))
    for engine in engines:
        await engine.start()
    ips = [f"{net}.{host}" for host in (4, 5, 6)]
    entries += [Entry(ip, ips, store, folder, record) for ip in ips]
    started = {}
    for entry in entries:
        entry.start(first=True)
        started[entry.ip] = time.monotonic()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(3.5)

    async def restart(entry):
        entry.send_signal(signal.SIGTERM)
        started[entry.ip] = float("inf")
        while entry.process.poll() is None:
            await asyncio.sleep(0.02)
        record(f"entry {entry.ip} has left")
        await asyncio.sleep(RESTART_S)
        entry.start(first=False)
        started[entry.ip] = time.monotonic()

    def in_touch(entry):
        return started[entry.ip] + CONTACT_S < time.monotonic()

    def last_event(answer):
        numbers = re.findall(rb"^id: (\d+)$", answer.body, re.M)
        return int(numbers[-1]) if numbers else 0

    taken_up = {}  # stream -> whether it went on at a machine in touch
    begun = []     # whether a new stream began at a machine in touch

    async def new_stream(ident, entry):
        answer = await ask(entry.front, request_bytes("GET", f"/stream/{ident}", ident, 15000), 1.0)
        record(f"{ident}, new, to {entry.ip}: {answer}, events to {last_event(answer)}")
        begun.append(last_event(answer) > 0)

    async def client(number):
        ident, sent = f"r{number}", time.monotonic()
        # Without the trouble the client's own connection breaks after four seconds.
        patience = 15.0 if trouble else 4.0
        answer = await ask(entries[0].front, request_bytes("GET", f"/stream/{number}", ident, 15000), patience)
        last = last_event(answer)
        record(f"{ident} to {entries[0].ip}: {answer}, events to {last}")
        if answer.whole or not last:
            return
        for attempt in range(TRIES):
            left = 15.0 - (time.monotonic() - sent)
            if left < 0.5:
                return
            entry = entries[1 + (number + attempt) % 2]
            again, touched = f"{ident}-again{attempt}", in_touch(entry)
            fresh = asyncio.create_task(new_stream(f"new{number}-{attempt}", entry)) if touched else None
            more = f"Last-Event-Id: {last}\r\nResumes: {ident}\r\n"
            answer = await ask(entry.front,
                               request_bytes("GET", f"/stream/{number}", again, int(left * 1000), more=more), left)
            goes_on = answer.status == 200 and answer.body.startswith(b"id: %d\n" % (last + 1))
            record(f"{again} to {entry.ip}, {'in touch' if touched else 'not in touch'}: {answer},"
                   f" events to {last_event(answer)}, retry-after {answer.headers.get('retry-after', '-')}")
            if fresh:
                await fresh
            if touched:
                taken_up[ident] = taken_up.get(ident, False) or goes_on
            if goes_on:
                return
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.5)))

    asking = [asyncio.create_task(client(number)) for number in range(STREAMS)]
    await asyncio.sleep(0.5)
    if trouble:
        leaving = []
        for entry in entries:
            leaving.append(asyncio.create_task(restart(entry)))
            await asyncio.sleep(GAP_S)
    for task in asking:
        await task
    count, on = len(taken_up), sum(taken_up.values())
    if count < LEAST or not begun:
        raise CannotRun(f"only {count} streams were taken up at machines in touch")
    share, new_share = on / count, sum(begun) / len(begun)
    return share < new_share / 2, (f"{on} of {count} streams went on that were taken up at machines in touch;"
                                   f" {sum(begun)} of {len(begun)} new streams began there")


run_case(Path(__file__).parent, case)

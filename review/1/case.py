"""A late surplus copy of a refusal is taken for the answer to the same request's next send."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import BROKEN, HELD, CouldNotRun, Directory, Heads, Site, Target
from deployment import read_body, read_head, run_case

ZONES = {"norte": "sierra", "sur": "sierra"}
DOMAIN, PREFIX, SERVICE = "rail.example", "/reserva/", "surcos"
TARGETS, SLOTS, QUEUE, WORK_S = 5, 4, 2, 0.025
# As in the site file: { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }.
GARBLING_TARGETS, SPOILED_SHARE, GARBLES_FOR_S, GARBLES_EACH_S = 3, 0.03, 5.0, 7.5
# One way between two zones, as on the sheet of aepcf-red.
LINK_S = 0.0009
CLIENTS, OBJECTS, DEADLINE_MS = 160, 24, 3000
TRAFFIC_S, PAUSE_S = 60, 0.2

DOCUMENT = {
    "version": 7,
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "listeners": [{"host": DOMAIN, "policy": [{
        "name": "r-reserva", "kind": "non_idempotent", "slo_ms": 500, "priority": 1, "sticky": True,
        "match": {"path_prefix": PREFIX},
        "action": {"service": SERVICE, "timeout_ms": 2000, "max_attempts": 3, "home_regions": []},
    }]}],
    "clusters": [{"name": SERVICE, "health_path": "/health", "max_conns": 330, "protocol": "h1",
                  "tls": False, "warmup_s": 3.0, "warmup_per_s": 14.0}],
}


class GarblingTarget(Target):
    """Sends some answers twice; the surplus one comes late, in the place of the next one due."""

    garbles = False

    async def serve(self, reader, writer):
        surplus = None
        while (head := await read_head(reader)) is not None:
            await read_body(reader, head)
            await asyncio.sleep(LINK_S)
            if surplus is not None:
                await asyncio.sleep(LINK_S)
                writer.write(surplus)
                of = Heads(surplus.split(b"\r\n\r\n")[0])
                self.recorder.note(
                    f"{self.instance} sends the surplus answer {of.first} of {of.get('attempt-id')}"
                )
                surplus = None
            answer = await self.answer(head, reader)
            if answer is None:
                return
            await asyncio.sleep(LINK_S)
            writer.write(answer)
            await writer.drain()
            if self.garbles and random.random() < SPOILED_SHARE:
                surplus = answer


async def client(number, site, directory, answers, until):
    """Sends a request after another on a kept connection; never sends one again."""
    recorder = site.recorder
    connection = address = None
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(1 / PAUSE_S))
        try:
            if connection is None or address not in directory.addresses:
                if connection is not None:
                    connection[1].close()
                connection, address = None, await directory.pick()
                if address is None:
                    continue
                connection = await asyncio.wait_for(asyncio.open_connection(*address), 1)
            reader, writer = connection
            request_id = f"{random.getrandbits(64):016x}"
            recorder.note(f"client {number} sends {request_id} to {address[0]}")
            answers[request_id] = None
            writer.write(
                f"POST {PREFIX}{number} HTTP/1.1\r\nHost: {DOMAIN}\r\nAttempt-Id: {request_id}\r\n"
                f"Affinity-Key: {random.randrange(OBJECTS)}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            head = await asyncio.wait_for(read_head(reader), DEADLINE_MS / 1000)
            if head is None:
                raise ConnectionError
            await asyncio.wait_for(read_body(reader, head), DEADLINE_MS / 1000)
            answers[request_id] = int(head.first.split(" ")[1])
            recorder.note(f"client {number} gets {answers[request_id]} for {request_id}")
            if (head.get("connection") or "").lower() == "close":
                raise ConnectionError
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if connection is not None:
                connection[1].close()
            connection = None


async def garble_now_and_then(site):
    """Lets half of the targets send surplus answers for a time, again and again."""
    while True:
        garbling = random.sample(site.targets, GARBLING_TARGETS)
        for target in garbling:
            target.garbles = True
        site.recorder.note(f"{' '.join(t.instance for t in garbling)} garble from now on")
        await asyncio.sleep(GARBLES_FOR_S)
        for target in garbling:
            target.garbles = False
        site.recorder.note("no target garbles from now on")
        await asyncio.sleep(GARBLES_EACH_S - GARBLES_FOR_S)


async def main(recorder, has_trouble, begin):
    site = Site(recorder, ZONES)
    begin(site)
    for number in range(TARGETS):
        zone = list(ZONES)[number % 2]
        site.targets.append(GarblingTarget(
            f"i-{random.getrandbits(32):08x}", SERVICE, zone, f"{site.net}.{100 + number}",
            SLOTS, QUEUE, WORK_S,
        ))
    for zone in ("norte", "norte", "sur", "sur"):
        site.add_host(zone)
    await site.start(DOCUMENT)
    await asyncio.sleep(5)
    answers = {}
    directories = {zone: Directory(site, DOMAIN, zone) for zone in ZONES}
    until = time.monotonic() + TRAFFIC_S
    zones = list(ZONES)
    garbling = asyncio.create_task(garble_now_and_then(site)) if has_trouble else None
    await asyncio.gather(*(
        client(number, site, directories[zones[number % 2]], answers, until)
        for number in range(CLIENTS)
    ))
    if garbling is not None:
        garbling.cancel()
    await asyncio.sleep(3)
    return judge(recorder, site, answers)


def judge(recorder, site, answers):
    runs = {}
    for target in site.targets:
        for request_id, count in target.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    recorder.say(f"{len(answers)} requests; answers by status: {statuses}")
    if statuses.get(200, 0) < len(answers) / 4:
        raise CouldNotRun("less than a quarter was served")
    refused = [i for i, status in answers.items() if status in (408, 421, 429, 503) and i in runs]
    twice = [i for i, count in runs.items() if count > 1]
    unasked = [i for i in runs if i not in answers]
    for rule, found in (("TWICE", twice), ("REFUSED", refused), ("UNASKED", unasked)):
        recorder.say(f"{rule}: {len(found)} {' '.join(found[:5])}")
    site.note_logs(twice[:2] + refused[:2])
    return BROKEN if refused or twice or unasked else HELD


run_case(main)

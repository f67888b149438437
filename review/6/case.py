"""Hosts are restarted one after the other while requests wait in the queues of slow targets.

A request that a host has passed on must not lose its connection when the host ends. With TROUBLE=0
the load is the same, and no host is restarted.
"""

import os
import random
import signal
import sys

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))

from deck import TROUBLE, Target, asyncio, config, now, read_head, read_request_body, request, rule, run

WORK_S = 2.1
SLOTS = 3
QUEUE = 9
GRACE_S = 6
TIMEOUT_MS = 9000
DEADLINE_MS = 10_000
# Requests per second at each host; the targets can do 4 x 3 / 2.1 = 5.7 in all.
RATE = 2.6
LOAD_S = 85


class BusyTarget(Target):
    """Works on some requests at once and queues a few more.

    A new connection holds a slot for a moment, so it waits for one. A request for another instance
    is turned away at once. A request whose connection closes is dropped.
    """

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        # Attempt id -> [arrival, begin of the work, end of the work, how it ended].
        self.work = {}

    async def connected(self, reader, writer):
        async with self.free:
            await asyncio.sleep(0.001)
        await super().connected(reader, writer)

    async def serve(self, reader, writer):
        while True:
            message = await read_head(reader)
            if message is None:
                return
            await read_request_body(reader, message)
            expected = message.get("Expect-Instance")
            if expected is not None and expected != self.id:
                await self.reply(writer, message, 421, b"", [("Not-Executed", "1")], False)
                continue
            if self.waiting >= QUEUE:
                await self.reply(writer, message, 503, b"", [("Not-Executed", "1")], False)
                continue
            attempt = message.get("Attempt-Id")
            entry = [now(), None, None, "waiting"]
            self.work.setdefault(attempt, []).append(entry)
            closed = asyncio.create_task(reader.read(1))
            if not await self.work_on(entry, closed, attempt):
                return
            await self.reply(writer, message, 200, self.answer_body(message))

    async def work_on(self, entry, closed, attempt):
        """Whether the request was worked on to its end."""
        self.waiting += 1
        slot = asyncio.create_task(self.free.acquire())
        await asyncio.wait({slot, closed}, return_when=asyncio.FIRST_COMPLETED)
        self.waiting -= 1
        if closed.done():
            if slot.done():
                self.free.release()
            slot.cancel()
            closed.exception()
            entry[2:] = [now(), "closed while it waited"]
            return False
        entry[1] = now()
        self.record.line(f"target {self.id} begins to work on {attempt}")
        await asyncio.wait({closed}, timeout=self.work_s)
        self.free.release()
        if closed.done():
            closed.exception()
            entry[2:] = [now(), "cut"]
            self.record.line(f"target {self.id}: the connection of {attempt} is closed by its peer")
            return False
        closed.cancel()
        try:
            await closed
        except asyncio.CancelledError:
            pass
        entry[2:] = [now(), "done"]
        return True


async def main(deck):
    targets = []
    for zone in ("east", "west", "east", "west"):
        target = BusyTarget(deck.store, deck.record, "notices", zone, slots=SLOTS, work_s=WORK_S)
        targets.append(target)
        await target.start()
    rules = [rule("/file/", "non_idempotent", "notices", timeout_ms=TIMEOUT_MS, slo_ms=1500)]
    deck.store.put("op", "config", config(5, rules, ["notices"]))
    await deck.start_hosts(["east", "west", "east", "west"])
    await asyncio.sleep(2)
    stop = now() + LOAD_S
    sigterms = {host.name: [] for host in deck.hosts}
    seen = []  # (host, sent, answered, attempt, answer)

    async def client(host):
        sent = now()
        attempt, answer = await request(
            deck, host, "POST", "/file/return", b"a return", deadline_ms=DEADLINE_MS
        )
        seen.append((host, sent, now(), attempt, answer))

    async def load(host):
        tasks = []
        while now() < stop:
            if host.ended() is None:
                tasks.append(asyncio.create_task(client(host)))
            await asyncio.sleep(random.expovariate(RATE))
        await asyncio.gather(*tasks, return_exceptions=True)

    async def rounds():
        await asyncio.sleep(8)
        while TROUBLE and now() < stop - 10:
            for host in deck.hosts:
                if now() >= stop - 10:
                    break
                sigterms[host.name].append(now())
                host.signal(signal.SIGTERM)
                await asyncio.to_thread(host.process.wait)
                deck.record.line(f"{host.name} has ended with {host.ended()}")
                host.start()
                await host.wait_ready()
                await asyncio.sleep(1)

    await asyncio.gather(rounds(), *[load(host) for host in deck.hosts])

    lost = closed = served = 0
    for host, sent, ended, attempt, answer in seen:
        if answer is not None and answer.whole:
            served += answer.status == 200
            continue
        entries = [entry for target in targets for entry in target.work.get(attempt, [])]
        if not entries:
            continue  # It was not passed on.
        closed += 1
        if ended > sent + min(TIMEOUT_MS, DEADLINE_MS) / 1000 - 0.05:
            continue  # The deadline or the route's timeout was reached.
        for sigterm in sigterms[host.name]:
            if not sigterm < ended < sigterm + GRACE_S + 1 or sent > sigterm + GRACE_S:
                continue
            at_work = any(entry[1] is not None for entry in entries)
            in_last_sixth = ended >= sigterm + GRACE_S * 5 / 6
            if at_work and in_last_sixth and sent <= sigterm + 3:
                continue  # The target was still at work in the last sixth of the grace period.
            lost += 1
            deck.record.line(
                f"LOST: {attempt} was sent to {host.name} {sent - sigterm:.2f} s after its SIGTERM "
                f"and reached its target {entries[-1][0] - sigterm:.2f} s after it; the connection "
                f"ended without an answer {ended - sigterm:.2f} s after it"
                f"{'' if at_work else ', while the request waited in the queue of the target'}"
            )
            break
    count = sum(map(len, sigterms.values()))
    deck.record.say(
        f"{len(seen)} requests, {served} served, {count} SIGTERMs; {closed} that were passed on ended "
        f"without an answer, {lost} of them without an excuse"
    )
    if served < 100:
        raise RuntimeError("hardly any request was served")
    return lost > 0


if __name__ == "__main__":
    run(HERE, main)

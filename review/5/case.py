"""GET and HEAD requests with a body: does the target run them with that body?

With TROUBLE=1 the bodies come in chunks, with TROUBLE=0 the same bodies come with a length.
"""

import os
import sys

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))

from deck import TROUBLE, asyncio, config, request, rule, run

# Far below max_body_bytes (67,108,864).
SIZES = [1_000, 60_000, 70_000, 100_000, 1_000_000]
ROUNDS = 4


async def main(deck):
    for zone in ("east", "west"):
        await deck.add_target("booking", zone)
    rules = [rule("/search/", "idempotent", "booking")]
    deck.store.put("op", "config", config(5, rules, ["booking"]))
    await deck.start_hosts(["east", "west"])
    await asyncio.sleep(2)
    framing = "chunked" if TROUBLE else "length"

    sent = {}
    for _ in range(ROUNDS):
        for method in ("GET", "HEAD", "POST"):
            for size in SIZES:
                for host in deck.hosts:
                    body = os.urandom(size)
                    attempt, answer = await request(
                        deck, host, method, "/search/trains?day=1", body, framing
                    )
                    sent[attempt] = (method, body, answer)

    changed = 0
    for target in deck.targets:
        for _, attempt, method, path, body in target.arrived:
            wanted = sent[attempt]
            is_same = (method, path, body) == (wanted[0], "/search/trains?day=1", wanted[1])
            if not is_same:
                changed += 1
                answer = wanted[2]
                deck.record.line(
                    f"UNASKED: {attempt} {wanted[0]} was sent with {len(wanted[1])} bytes and ran "
                    f"with {len(body)}; the client got {answer.status if answer else 'nothing'}"
                )
    served = sum(1 for _, _, a in sent.values() if a is not None and a.status == 200)
    deck.record.say(
        f"bodies by {framing}: {len(sent)} requests, {served} answered with 200, "
        f"{changed} ran with another body"
    )
    if served < len(sent) // 2:
        raise RuntimeError("most requests were not served")
    return changed > 0


if __name__ == "__main__":
    run(HERE, main)

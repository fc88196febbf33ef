"""A service with syncReplicas 1 loses its primary while one replica is behind and the other one is slow."""

import asyncio
import os
import random
import sys
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from world import Client, World, run, trouble  # noqa: E402

# One of the three services of Inanga Scores: its share of the sheet's requests, and their time limits.
SESSIONS = 96
RATES = [("orders", 22.4, 0.35, 5.0), ("browse", 22.4, 0.0, 12.0), ("proofs", 104.7, 0.12, 5.0)]
CALM_S, BEHIND_S, AFTER_S = 6.0, 2.0, 12.0
SLOW_X, CRASH_S = 5.0, 7.0


async def session(world, acked, counts, until):
    names = [name for name, *_ in RATES]
    weights = [rate for _, rate, *_ in RATES]
    pause = SESSIONS / sum(weights)
    clients = {}
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(1 / pause))
        name, _, writes, limit_s = random.choices(RATES, weights)[0]
        request_id = uuid.uuid4().hex[:16]
        is_write = random.random() < writes
        item = f"{random.randrange(2000):x}"
        text = f"WRITE {item} {uuid.uuid4().hex}" if is_write else f"READ {item}"
        client = clients.get(name)
        try:
            if client is None:
                client = clients[name] = Client(world, random.choice(world.proxies), name)
                await client.connect()
            outcome, _, _ = await client.query(request_id, text, limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = f"broken: {error!r}"
            if client:
                client.close()
            clients[name] = None
        done = outcome.startswith("COMPLETE")
        word = "served" if done else " ".join(outcome.split(" ")[:2])
        counts[word] = counts.get(word, 0) + 1
        if is_write:
            world.record.write(f"client: {request_id} {text} -> {outcome}")
            if done:
                acked[request_id] = time.monotonic()
    for client in clients.values():
        if client:
            client.close()


async def disrupt(world):
    await asyncio.sleep(CALM_S)
    primary, behind, slow = world.members
    world.record.write(f"DISRUPTION {behind.id}: receives nothing for a while")
    behind.deaf = True
    world.record.write(f"DISRUPTION {slow.id}: works {SLOW_X} times as long")
    slow.slow = SLOW_X
    await asyncio.sleep(BEHIND_S)
    await primary.crash(CRASH_S)
    # 2.0 s + 5.0 s: replica_lag lasts at most 7.0 s on this site, srv_slow 7.6 s.


async def heal(world):
    await asyncio.sleep(CALM_S + 7.0)
    world.members[1].deaf = False
    world.members[2].slow = 1.0


async def main():
    world = World(FOLDER, sync=1)
    try:
        await world.start(3)
        await asyncio.sleep(3)
        world.record.write("traffic starts")
        acked, counts = {}, {}
        until = time.monotonic() + CALM_S + BEHIND_S + AFTER_S
        tasks = [asyncio.ensure_future(session(world, acked, counts, until)) for _ in range(SESSIONS)]
        if trouble():
            tasks += [asyncio.ensure_future(disrupt(world)), asyncio.ensure_future(heal(world))]
        await asyncio.gather(*tasks)
        world.record.write(f"requests: {counts}")
        if len(acked) < 100:
            world.record.write("too few acknowledged writes for a result")
            return 2
        lost = 0
        for at, member, log in world.promotions:
            kept = {write[0] for entry in log for write in entry.writes}
            missing = [known for known, when in acked.items() if when < at and known not in kept]
            lost += len(missing)
            world.record.write(f"promotion of {member.id}: {len(missing)} acknowledged commits "
                               f"are not in its log: {' '.join(missing[:20])}")
        world.record.write(f"{len(acked)} writes acknowledged, {len(world.promotions)} promotions, "
                           f"{lost} acknowledged commits lost: rule LOST {'broken' if lost else 'held'}")
        return 1 if lost else 0
    finally:
        world.stop()


run(main)

"""A primary crashes for a moment, and the instance that replaces it is killed after it ordered the promotion."""

import asyncio
import os
import random
import sys
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from world import Client, World, run, trouble  # noqa: E402

SESSIONS, PAUSE_S = 24, 0.25
CALM_S, CRASH_S, AFTER_S = 4.0, 0.9, 9.0


async def session(world, acked, until):
    client = None
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(1 / PAUSE_S))
        request_id = uuid.uuid4().hex[:16]
        text = f"WRITE {random.randrange(2000):x} {uuid.uuid4().hex}"
        try:
            if client is None:
                client = Client(world, random.choice(world.proxies), "orders")
                await client.connect()
            outcome, _, _ = await client.query(request_id, text, 5.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = f"broken: {error!r}"
            if client:
                client.close()
            client = None
        world.record.write(f"client: {request_id} {text} -> {outcome}")
        if outcome.startswith("COMPLETE"):
            acked[request_id] = time.monotonic()
    if client:
        client.close()


async def main():
    world = World(FOLDER)
    killed = []

    def kill_holder(holder, _target):
        # The holder is the process that last wrote to the store under a condition.
        proxy = next(proxy for proxy in world.proxies if proxy.name == holder)
        if trouble() and not killed:
            killed.append(proxy)
            asyncio.get_running_loop().call_later(
                0.03, lambda: asyncio.ensure_future(proxy.kill_and_restart()))

    world.on_promotion = kill_holder
    commits = []

    def committed(member, entry):
        commits.append((time.monotonic(), member, entry))

    world.on_commit = committed
    try:
        await world.start(3)
        await asyncio.sleep(3)
        world.record.write("traffic starts")
        acked = {}
        until = time.monotonic() + CALM_S + AFTER_S
        tasks = [asyncio.ensure_future(session(world, acked, until)) for _ in range(SESSIONS)]
        await asyncio.sleep(CALM_S)
        if trouble():
            tasks.append(asyncio.ensure_future(world.members[0].crash(CRASH_S)))
        await asyncio.gather(*tasks)
        if len(acked) < 100 or (trouble() and not killed):
            world.record.write(f"no result: {len(acked)} writes acknowledged, {len(killed)} processes killed")
            return 2
        faults = 0
        for at, member, entry in commits:
            later = [target for when, target, _ in world.promotions if when < at and target.term > entry.term]
            for request_id, *_ in entry.writes:
                if later and member not in later and request_id in acked:
                    faults += 1
                    world.record.write(f"{request_id} was committed as {entry} at {member.id} after "
                                       f"{later[-1].id} had taken over, and acknowledged")
        kept = {write[0] for member in world.members if member is world.groups[0].leader()
                for entry in member.log for write in entry.writes}
        gone = [request_id for request_id in acked if request_id not in kept]
        world.record.write(f"{len(acked)} writes acknowledged, {len(world.promotions)} promotions, {faults} "
                           f"at the old primary: rule ONE {'broken' if faults else 'held'}; "
                           f"{len(gone)} acknowledged writes are not in the primary's log at the end")
        return 1 if faults else 0
    finally:
        world.stop()


run(main)

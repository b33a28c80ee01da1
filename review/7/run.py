"""The store is away for some seconds; later the gateway that reads it is cut from it as an engine leaves."""

import asyncio
import itertools
import os
import sys
import time
import traceback

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from lab import Engine, Lab  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # bounds.drain_ms
AWAY_S = (4.5, 4.3, 4.1, 4.4, 4.2)  # platform_down
CALM_S = 4.0  # from the end of the outage to the cut; contact_ms is 3,000
CUT_S = 5.5  # core_cut
SERVED_S = 3.0  # how long the leaving engine still serves: drain_ms and a little longer


async def main():
    lab = Lab(os.path.join(FOLDER, "record.txt"), gateways=7)
    late, gone, sent_by = [], {}, {}

    async def serve(request):
        engine = request.engine
        if engine.id in gone:
            after = request.at - gone[engine.id]
            # The gateway that is cut from the store is out of touch, and its requests don't count.
            if after > DRAIN_S and sent_by[request.id] != reader.name:
                late.append((round(after, 3), request.id))
                request.note(f"arrives from {sent_by[request.id]} {after:.3f} s after the store has acknowledged the end of its entry")
        await asyncio.sleep(0.05)
        await request.answer(200, b"x" * 800)

    lab.service("register", max_conns=200)
    lab.route("entry", "non_idempotent", "register", 4000, 300)
    lab.engines = [Engine(lab, "register", serve, slots=16) for _ in range(len(AWAY_S))]
    await lab.start()
    stopped, answers = asyncio.Event(), []

    async def client(number):
        for index in itertools.count():
            if stopped.is_set():
                return
            gateway = lab.gateways[(number + index) % len(lab.gateways)]
            request_id = f"{next(lab.request_ids):016x}"
            sent_by[request_id] = gateway.name
            answer = await lab.request(gateway, "/entry/a", body=b"%d-%d" % (number, index), request_id=request_id,
                                       note=False)
            answers.append(answer.status)
            await asyncio.sleep(0.05)

    reader = lab.gateways[0]  # the first by processor power and name
    clients = [asyncio.create_task(client(number)) for number in range(21)]
    rounds = 0
    try:
        await asyncio.sleep(4)
        for away in AWAY_S:
            rounds += 1
            if TROUBLE:
                lab.record.write("the store is away: it answers nothing")
                lab.store.is_away = lambda gateway: True
                await asyncio.sleep(away)
                lab.store.is_away = lambda gateway: False
                lab.record.write("the store is back")
            await asyncio.sleep(CALM_S)
            if TROUBLE:
                lab.record.write(f"{reader.name} is cut from the store")
                lab.store.is_away = lambda gateway: gateway == reader.name
            await asyncio.sleep(0.3)
            # An engine that never reports `draining`: its entry is removed, and it serves on for the same time.
            old = lab.engines[rounds - 1]
            newer = Engine(lab, "register", serve, slots=16)
            lab.engines.append(newer)
            await newer.start()
            await old.unlist()
            gone[old.id] = time.monotonic()
            lab.record.write(f"store acknowledges that the entry of {old.id} is removed")
            await asyncio.sleep(SERVED_S)
            await old.end()
            lab.record.write(f"{old.id} has ended")
            await asyncio.sleep(CUT_S - 0.3 - SERVED_S)
            lab.store.is_away = lambda gateway: False
            if late:
                break
            await asyncio.sleep(1)
        stopped.set()
        await asyncio.wait(clients, timeout=6)
    finally:
        for task in clients:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            lab.keep_logs(os.environ["KEEP_LOGS"])
        await lab.stop()
    latest = max(late, default=(0,))[0]
    summary = (f"{len(answers)} requests, {answers.count(200)} served, in {rounds} rounds; {len(late)} reached an engine "
               f"later than {DRAIN_S} s after the acknowledgement that it is gone, the last one after {latest} s")
    lab.record.write(summary)
    if late:
        print(f"DRAIN: {summary}")
        return 1
    if not TROUBLE and answers.count(200) < len(answers) * 0.99:
        print(f"couldn't run: {summary}")
        return 2
    print(f"held: {summary}")
    return 0


if __name__ == "__main__":
    try:
        CODE = asyncio.run(asyncio.wait_for(main(), 112))
    except Exception:  # the case could not run
        traceback.print_exc()
        CODE = 2
    sys.exit(CODE)

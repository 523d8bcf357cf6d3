"""A host is stopped (SIGTERM) under load: requests that full workers rejected wait there for the retry budget."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s

GRACE_S, LOSS_SLACK_S = 8.0, 0.2


async def scenario(world):
    record = world.record
    # Two small workers have the model: eight places and four in the queues, six seconds a request.
    await world.start(
        ["m0"],
        lambda w: [s.Worker(w.store, record, f"i-{n}", {"m0": set()}, slots=4, queue=2, gap_s=0.5) for n in (1, 2)],
        slots=4)
    others = []

    # Three times what the workers can do, over all hosts in rotation.
    async def traffic():
        for number in range(10_000):
            hosts = [host for host in world.hosts if host.in_rotation]
            client = await s.Client(hosts[number % len(hosts)], record).connect()
            others.append(asyncio.create_task(client.ask(f"steady-{number}", "m0")))
            await asyncio.sleep(0.2)
    feeding = asyncio.create_task(traffic())
    await asyncio.sleep(25.0)
    stopped = world.hosts[1]
    kept = [await s.Client(stopped, record).connect() for _ in range(16)]
    stopped_at = s.now()
    if s.TROUBLE:
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    # Clients go on on the connections that they have open.
    tasks = []
    for number, client in enumerate(kept):
        tasks.append(asyncio.create_task(client.ask(f"kept-{number}", "m0")))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*tasks)
    feeding.cancel()
    answers += await asyncio.gather(*others)
    broken = []
    for answer in answers:
        taken = any(answer.attempt in worker.taken for worker in world.workers)
        lost = not answer.complete and answer.end != "client's deadline reached"
        # Without the stop, no connection may end without an answer at all.
        in_plan = not s.TROUBLE or stopped_at < answer.ended_at < stopped_at + GRACE_S + 1
        late = answer.ended_at - answer.sent_at > LOSS_SLACK_S
        # The process had read the request: a worker has rejected it.
        read = any(answer.attempt in worker.rejections for worker in world.workers)
        if lost and in_plan and late and read and not taken:
            broken.append(f"{answer.attempt}: rejected by workers, on none of them, connection ended without an answer"
                          f" {answer.ended_at - stopped_at:.2f} s after SIGTERM,"
                          f" {answer.ended_at - answer.sent_at:.2f} s after it was sent")
    return broken


s.main(FOLDER, scenario)

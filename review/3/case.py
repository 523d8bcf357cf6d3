"""A worker crashes in the middle of streams that may be resumed. Its events end their lines with CRLF, two a chunk."""
import asyncio
import os
import re
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s

EVENTS = 12


async def send_events(worker, writer, after):
    """Sends the events after `after`, up to two in a chunk, as text/event-stream with CRLF line ends."""
    numbers = list(range(after + 1, EVENTS + 1))
    for first in range(0, len(numbers), 2):
        pair = numbers[first:first + 2]
        await worker.chunk(writer, "".join(f"id: {n}\r\ndata: piece {n}\r\n\r\n" for n in pair))
        await asyncio.sleep(0.3)
    writer.write(b"0\r\n\r\n")
    return True


async def scenario(world):
    record = world.record
    await world.start(["m0"], lambda w: [s.Worker(w.store, record, f"i-{n}", {"m0": set()}, stream=send_events)
                                         for n in range(2)])
    tasks = []
    for number in range(12):
        client = await s.Client(world.hosts[number % 3], record).connect()
        tasks.append(asyncio.create_task(client.ask(f"stream-{number}", "m0")))
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    if s.TROUBLE:
        world.workers[0].crash()
    answers = await asyncio.gather(*tasks)
    broken = []
    for answer in answers:
        ids = [int(n) for n in re.findall(rb"id: (\d+)", answer.body)]
        record.line(f"{answer.attempt}: {answer.text}, pieces {ids}")
        if answer.status == 200 and answer.complete and ids != list(range(1, EVENTS + 1)):
            broken.append(f"{answer.attempt}: complete, but its pieces are {ids}")
        elif len(set(ids)) != len(ids):
            broken.append(f"{answer.attempt}: pieces come twice: {ids}")
    return broken


s.main(FOLDER, scenario)

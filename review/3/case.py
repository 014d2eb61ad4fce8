"""Case 3: a request whose length is wrong is run with a cut-off body and answered as served.

Four workers, clients that call `book-slot`. The disruption: bad clients, who declare a length that is smaller than the
body that they send, everything in one write.
"""

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from platform_standins import (  # noqa: E402
    Channel, Record, Router, Worker, call_request, client_call, exchange, free_address, new_id, run_case, settings,
    worker_entry,
)

WORKERS = 4
FUNCTIONS = 8
CALLS_PER_S = 30
PLAY_S = 20
BAD_ONE_IN = 10
BAD_CLIENT_WAITS_S = 3


async def behave(call):
    """Books the slots that the body names, as far as they are there."""
    call.worker.record.add("run", worker=call.worker.id, id=call.id, length=len(call.body))
    await asyncio.sleep(random.uniform(0.02, 0.08))
    if not call.killed and not call.connection.is_closing():
        call.answer("ok", body=b"booked")


def booking():
    """The body of a request: which slots to reserve."""
    slots = [{"machine": f"mill-{random.randrange(9)}", "hour": random.randrange(24)} for _ in range(random.randrange(3, 20))]
    return json.dumps({"slots": slots}).encode()


async def bad_call(record, address, function, trouble):
    """Sends one request, whose length is too small if `trouble`, and waits for an answer or a close."""
    request_id, body = new_id(), booking()
    declared = random.randrange(len(body)) if trouble else len(body)
    request = call_request(function, "book-slot", request_id, 2500, body=body)
    request = request.replace(b"Content-Length: %d\r\n" % len(body), b"Content-Length: %d\r\n" % declared)
    record.add("bad-request", id=request_id, declared=declared, length=len(body))
    try:
        outcome = (await exchange(address, request, BAD_CLIENT_WAITS_S)).status
    except asyncio.TimeoutError:
        outcome = "none"
    except (ConnectionError, asyncio.IncompleteReadError):
        outcome = "closed"
    record.add("bad-answer", id=request_id, status=outcome)


async def play(record: Record, folder, trouble):
    workers = []
    for number in range(WORKERS):
        worker = Worker(record, f"s-{number:08x}", free_address(f"127.0.1.{number + 1}"), behave)
        await worker.start()
        workers.append(worker)
    channel = Channel(record, free_address("127.0.0.2"), [])
    await channel.start()
    channel.tell(*[worker_entry(worker) for worker in workers], full=True)
    router = Router(record, folder, free_address("127.0.0.3"), channel.address, list(channel.events), settings())
    clients = set()
    try:
        await router.start()
        functions = [new_id() for _ in range(FUNCTIONS)]
        loop = asyncio.get_running_loop()
        began = loop.time()
        for number in range(PLAY_S * CALLS_PER_S):
            await asyncio.sleep(max(0, began + number / CALLS_PER_S - loop.time()))
            function = random.choice(functions)
            if number % BAD_ONE_IN == 0:
                call = bad_call(record, router.address, function, trouble)
            else:
                call = client_call(record, router.address, function, "book-slot", 2500, body=booking())
            clients.add(asyncio.ensure_future(call))
        await asyncio.gather(*clients)
    finally:
        await router.stop()
        channel.stop()
        for worker in workers:
            worker.stop()


def judge(record):
    """No request with a wrong length is answered as served."""
    bad = {event["id"]: event for event in record.of("bad-request") if event["declared"] != event["length"]}
    ran = {event["id"]: event["length"] for event in record.of("run")}
    return [
        f"{event['id']} was served: {bad[event['id']]['length']} bytes sent, {bad[event['id']]['declared']} declared, "
        f"run with {ran.get(event['id'])}"
        for event in record.of("bad-answer")
        if event["status"] == 200 and event["id"] in bad
    ]


sys.exit(run_case(play, judge, FOLDER))

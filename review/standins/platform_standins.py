"""Stand-ins for the users' platform: workers, the command channel and clients, as PROTOCOL.md describes them.

Everything listens and connects on loopback addresses. All observations go into a Record, with the time of the
system's Unix clock, so that a script can judge what crossed the sockets and nothing else.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class CannotRun(Exception):
    """The case could not be played; it says nothing about the router."""


class Record:
    """The events of one run, in order of their times."""

    def __init__(self):
        self.began = time.time()
        self.events = []

    def add(self, what, **fields):
        event = {"t": time.time(), "what": what, **fields}
        self.events.append(event)
        return event

    def of(self, what):
        return [event for event in self.events if event["what"] == what]

    def write(self, path, verdict):
        lines = []
        for event in self.events:
            fields = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("t", "what"))
            lines.append(f"{event['t'] - self.began:9.4f} {event['what']} {fields}")
        Path(path).write_text("\n".join([*verdict, "", *lines]) + "\n")


def free_address(host):
    """An unused port at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def split_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def fields_of(text):
    if text == "-":
        return {}
    return dict(pair.split("=", 1) for pair in text.split(","))


class Call:
    """A request as a worker has received it, whole."""

    def __init__(self, worker, connection, request_id, fields, body):
        self.worker = worker
        self.connection = connection
        self.id = request_id
        self.fields = fields
        self.body = body
        self.killed = False

    def answer(self, word="ok", fields="-", body=b""):
        """Writes one answer to this request."""
        self.connection.write(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")
        self.worker.record.add("worker-answer", worker=self.worker.id, id=self.id, word=word)


class Worker:
    """A worker that speaks the line protocol. `behaviour` is called with each Call, as a coroutine."""

    def __init__(self, record, worker_id, address, behaviour):
        self.record = record
        self.id = worker_id
        self.address = address
        self.behaviour = behaviour
        self.ready = True
        self.connections = set()
        self.server = None
        self.tasks = set()

    async def start(self):
        host, port = split_address(self.address)
        self.server = await asyncio.start_server(self.serve, host, port)

    def reset_connections(self):
        """Ends all connections as a dying process does: with a reset."""
        for writer in list(self.connections):
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def stop(self):
        if self.server:
            self.server.close()
        self.reset_connections()
        for task in self.tasks:
            task.cancel()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        calls = {}
        try:
            while line := await reader.readline():
                words = line.decode("latin-1").rstrip("\r\n").split(" ")
                await self.message(words, reader, writer, calls)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            for call in calls.values():
                call.killed = True
                self.record.add("worker-closed", worker=self.id, id=call.id)
            writer.close()

    async def message(self, words, reader, writer, calls):
        if words[0] == "FN":
            _, request_id, fields, length = words
            body = (await reader.readexactly(int(length) + 2))[:-2]
            fields = fields_of(fields)
            self.record.add("worker-call", worker=self.id, id=request_id, kind=fields["kind"], obj=fields["obj"], ms=fields["ms"])
            call = calls[request_id] = Call(self, writer, request_id, fields, body)
            self.spawn(self.behaviour(call))
        elif words[0] == "KILL":
            self.record.add("worker-kill", worker=self.id, id=words[1])
            if words[1] in calls:
                calls[words[1]].killed = True
        elif words[0] in ("HELO", "TOP"):
            self.record.add("worker-probe", worker=self.id, ready=self.ready)
            writer.write(f"{words[1]} {'yes' if self.ready else 'no'} - 0\r\n\r\n".encode())
        elif words[0] == "SPAWN":
            self.record.add("worker-order", worker=self.id, fields=words[2])
            self.spawn(self.order(words[1], fields_of(words[2]), writer))

    async def order(self, tag, fields, writer):
        """Carries out an order to load and answers it."""
        word = await self.load(fields["obj"])
        if not writer.is_closing():
            writer.write(f"{tag} {word} n={int(word == 'ok')} 0\r\n\r\n".encode())

    async def load(self, function):
        """Loads a copy of a function; returns the word of the answer to an order."""
        await asyncio.sleep(0.05)
        return "ok"


class Channel:
    """The command channel: numbered events, told by long polls."""

    def __init__(self, record, address, events):
        self.record = record
        self.address = address
        self.events = events
        self.changed = asyncio.Event()
        self.connections = set()
        self.breaks_off = False
        self.server = None

    async def start(self):
        host, port = split_address(self.address)
        self.server = await asyncio.start_server(self.serve, host, port)

    def break_off(self):
        """The next answer that tells of an event breaks off in the middle, and its connection ends."""
        self.breaks_off = True

    def stop(self):
        """Accepts no new connection and ends the open ones."""
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def tell(self, *workers, full=False):
        """Puts one event into the channel."""
        number = len(self.events) + 1
        nodes = {"version": number, "full": full, "servers": list(workers)}
        self.events.append({"cursor": number, "nodes": nodes})
        told = [f"{w['id']}:{w['state']}" for w in workers]
        self.record.add("told", cursor=number, workers=",".join(told))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                target = request.decode().split(" ")[1]
                query = dict(pair.split("=") for pair in target.split("?")[1].split("&"))
                await self.poll(int(query["resume"]), min(int(query["block"]), 5000), writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def poll(self, resume, block_ms, writer):
        deadline = time.time() + block_ms / 1000
        while len(self.events) <= resume and time.time() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.time())
            except asyncio.TimeoutError:
                break
        body = json.dumps({"cursor": len(self.events), "cmds": self.events[resume:]}).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.breaks_off and len(self.events) > resume:
            self.breaks_off = False
            self.record.add("channel-breaks-off", resume=resume)
            writer.write(answer[: len(answer) // 2])
            return writer.close()
        writer.write(answer)
        await writer.drain()


def worker_entry(worker, state="active", zone="hall-a", cell=1, started_ms=0):
    return {
        "id": worker.id, "addr": worker.address, "zone": zone, "kind": "std-3c", "cell": cell,
        "state": state, "weight": 1, "started_ms": started_ms,
    }


def settings(**changes):
    """The settings of a small deployment, with the values of catania-main; `changes` replace whole sections."""
    second = 1_000_000_000
    value = {
        "granularity": 4_000_000, "fleetSize": 1, "position": 0, "zone": 0, "family": "warm", "discovery": "pushed",
        "zones": ["hall-a", "hall-b", "hall-c"], "kinds": ["std-3c", "eco-3c"],
        "orgs": [{"name": "ionica-aero", "allowancePerS": 91.0, "share": 0.64},
                 {"name": "shop-direct", "allowancePerS": 51.0, "share": 0.36}],
        "overShareWorth": 0.1,
        "permissions": {
            "cancel": True, "connectTimeout": 250_000_000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500_000,
            "keepalive": 15 * second, "maxOpen": 20_000, "maxRetryAfter": second, "mayDuplicate": False,
            "mayTell": False, "probes": True, "retryAfter": True, "sendCap": 5, "streamsPerConn": 100},
        "rules": {"answerSlack": 16_000_000, "askWithin": 10 * second, "cold": 15 * second, "coldShare": 0.2,
                  "fall": 3 * second, "overloadFactor": 4.0, "stopSendingWithin": 500_000_000},
        "familyInfo": {"answerWithin": 10 * second, "freeLoads": 0.0, "idlePrice": 0.0, "loadPart": 0.0,
                       "loadWindow": 0, "machineMb": [9472.0, 9792.0], "mayLoad": True, "staysLoaded": 10 * second,
                       "tellsCrowd": True, "warmNotes": False, "whenAbsent": "load"},
        "services": [
            {"name": "estimate", "aim": 800_000_000, "hardLimit": 2 * second, "effect": "retryable", "keyScope": "all",
             "lateValue": 0.3, "streamed": False, "value": 1.0, "window": 5 * second},
            {"name": "issue-quote", "aim": 1_200_000_000, "hardLimit": 4 * second, "effect": "dedup", "keyScope": "all",
             "lateValue": 0.1, "streamed": False, "value": 5.0, "window": 8 * second},
            {"name": "book-slot", "aim": 750_000_000, "hardLimit": 2_500_000_000, "effect": "fragile", "keyScope": "all",
             "lateValue": 0.2, "streamed": False, "value": 5.0, "window": 5 * second}],
        "stats": {"fields": ["busy", "x1", "x0"], "how": "probe"},
        "tariffs": {"crossZone": 0.014, "lateFail": 0.034, "origin": 0.14, "probe": 0.01, "waste": 0.04},
        "tiers": ["quote-workers"], "valueBy": "work", "weights": "none",
    }
    value.update(changes)
    return value


class Router:
    """One router, started with the line `run` of the deploy file."""

    def __init__(self, record, folder, address, channel, known, router_settings, limits=None, name="n0"):
        self.record = record
        self.address = address
        self.config = Path(folder) / f"{name}.json"
        self.log = Path(folder) / f"{name}.log"
        self.folder = folder
        self.name = name
        self.content = {
            "name": name, "listen": address, "seed": f"{random.getrandbits(64):016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "channel": channel, "known": {"cursor": len(known), "cmds": known}, "settings": router_settings,
        }
        self.process = None

    def write_config(self):
        self.config.write_text(json.dumps(self.content))

    async def start(self):
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": str(self.folder), "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.address, "BALANCER_CONFIG": str(self.config),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        for _ in range(1000):
            if self.process.returncode is not None:
                raise CannotRun(f"the router ended at its start: {self.log.read_text()}")
            try:
                if (await exchange(self.address, b"GET /-/healthy HTTP/1.1\r\nHost: backend.local\r\n\r\n", 1)).status == 200:
                    self.record.add("router-ready", pid=self.process.pid)
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the router was not ready within 20 s")

    def signal(self, number):
        self.record.add("router-signal", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Response:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Response(int(head[0].split(" ")[1]), headers, body)


async def exchange(address, request, timeout):
    """Sends one request on a new connection and reads its answer."""
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request)
        return await asyncio.wait_for(read_response(reader), timeout)
    finally:
        writer.close()


def call_request(function, trigger, request_id, wait_ms, token=None, owner="ionica-aero", cost=80, body=b"part"):
    lines = [
        f"POST /api/v2/{function}/call HTTP/1.1", "Host: backend.local", f"X-Class: {trigger}", f"Req-Id: {request_id}",
        f"Req-Wait-Ms: {wait_ms}", f"Req-Owner: {owner}", f"Req-Cost: {cost}", "X-Extras: memory_mb:400;lanes:1",
        f"Content-Length: {len(body)}",
    ]
    if token:
        lines.append(f"Req-Token: {token}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def new_id():
    return f"{random.getrandbits(64):016x}"


async def client_call(record, address, function, trigger, wait_ms, request_id=None, token=None, **more):
    """Plays a client that sends one request and waits for its time. The outcome goes into the record: the status, or
    `none` if there was no answer in time, or `closed` if the connection ended without a whole answer."""
    request_id = request_id or new_id()
    if trigger == "issue-quote" and token is None:
        token = new_id() + new_id()
    request = call_request(function, trigger, request_id, wait_ms, token, **more)
    record.add("client-request", id=request_id, trigger=trigger, function=function, wait_ms=wait_ms)
    try:
        response = await exchange(address, request, wait_ms / 1000 + 0.55)
        outcome, body = response.status, response.body.decode("latin-1")
    except asyncio.TimeoutError:
        outcome, body = "none", ""
    except (ConnectionError, asyncio.IncompleteReadError):
        outcome, body = "closed", ""
    record.add("client-answer", id=request_id, trigger=trigger, status=outcome, body=body)
    return outcome


def run_case(play, judge, folder):
    """Plays a case within 120 s, judges it, writes record.txt and returns the exit code of the script. `play` is called
    with the record, the temporary folder and whether the disruption takes place; `judge` returns the broken rules."""
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded(temporary):
        await asyncio.wait_for(play(record, temporary, trouble), 112)

    def interrupt(*_):
        raise KeyboardInterrupt

    # A script that is told to end still ends the processes that it started.
    signal.signal(signal.SIGTERM, interrupt)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            asyncio.run(bounded(temporary))
        broken = judge(record)
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write(Path(folder) / "record.txt", [f"the case could not run: {error!r}"])
        print(f"the case could not run: {error!r}")
        return 2
    verdict = [f"disruption: {'yes' if trouble else 'no'}", *(broken or ["the rule held"])]
    record.write(Path(folder) / "record.txt", verdict)
    print("\n".join(verdict))
    return 1 if broken else 0

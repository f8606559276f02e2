"""Stand-ins for the platform, its minions and clients, and control of real instances.

Everything listens on the loopback address. The instances are separate processes that are
started with the command of the deploy file. The store and the minions behave as the pages
of the platform describe them; faults are switched on by the scripts.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

HEARTBEAT_MS = 1500
MAX_HOLD_MS = 1000
STOP_GRACE_MS = 50
PARTITIONS = 24


def now_ms():
    return int(time.monotonic() * 1000)


class Cancelled(Exception):
    """The connection is to be closed without an answer."""


class HttpServer:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, reply = await self.handler(method, target, headers, body)
                if isinstance(reply, (dict, list)):
                    reply = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(reply)}\r\n\r\n".encode() + reply
                )
                await writer.drain()
        except (Cancelled, asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Log:
    """A partition of a topic."""

    def __init__(self):
        self.first = 0
        self.records = []  # (time in ms, bytes)

    @property
    def end(self):
        return self.first + len(self.records)

    def expire(self, keep_ms):
        oldest = now_ms() - keep_ms
        while self.records and self.records[0][0] < oldest:
            self.records.pop(0)
            self.first += 1


class Store:
    """The platform's metadata store in the form of a log."""

    def __init__(self, keep_s=300):
        self.keep_ms = keep_s * 1000
        self.logs = {}
        self.newest = {}  # topic -> key -> (value, offset)
        self.members = {}  # member -> [expiry, generation, topics]
        self.generation = 0
        self.owners = {}  # (topic, part) -> member
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.delay_ms = 4
        self.down = None  # None, "busy" or "silent"

    async def start(self):
        await self.http.start()
        self.address = f"{HOST}:{self.http.port}"

    def log(self, topic, part):
        return self.logs.setdefault((topic, part), Log())

    def append(self, topic, part, records):
        log = self.log(topic, part)
        for record in records:
            if topic.startswith("keyed."):
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                if value:
                    self.newest.setdefault(topic, {})[key] = (value, log.end)
                else:
                    self.newest.setdefault(topic, {}).pop(key, None)
            log.records.append((now_ms(), record))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        raw = key.encode()
        body = json.dumps(value).encode() if value is not None else b""
        self.append(topic, 0, [bytes([len(raw)]) + raw + body])

    def expire_members(self):
        now = now_ms()
        gone = [name for name, member in self.members.items() if member[0] <= now]
        for name in gone:
            del self.members[name]
        if gone:
            self.rebalance()

    def rebalance(self):
        self.generation += 1
        topics = sorted({topic for member in self.members.values() for topic in member[1]})
        names = sorted(self.members)
        self.owners = {}
        if names:
            rows = [(topic, part) for topic in topics for part in range(PARTITIONS)]
            for number, row in enumerate(rows):
                self.owners[row] = names[number % len(names)]

    async def handle(self, method, target, headers, body):
        if self.down == "busy":
            return 503, b""
        if self.down == "silent":
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_ms / 1000)
        self.expire_members()
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        topic, part = query.get("topic", ""), int(query.get("part", 0))
        if url.path == "/-/log-append":
            return self.handle_append(topic, part, query, body)
        if url.path == "/-/log-read":
            return await self.handle_read(topic, part, query)
        if url.path == "/-/log-newest":
            return self.handle_newest(topic, query)
        if url.path == "/-/log-join":
            return self.handle_join(json.loads(body))
        if url.path == "/-/log-leave":
            if self.members.pop(json.loads(body)["member_id"], None) is not None:
                self.rebalance()
            return 200, {}
        if url.path == "/-/log-owners":
            rows = [[topic, part, name, 0] for (topic, part), name in self.owners.items()]
            return 200, {"parts": rows}
        return 404, b""

    def handle_append(self, topic, part, query, body):
        log = self.log(topic, part)
        if "at" in query and int(query["at"]) != log.end:
            return 412, {"end_offset": log.end}
        records, rest = [], body
        while rest:
            length = struct.unpack(">I", rest[:4])[0]
            records.append(rest[4 : 4 + length])
            rest = rest[4 + length :]
        offset = log.end
        self.append(topic, part, records)
        return 200, {"offset": offset, "end_offset": log.end}

    async def handle_read(self, topic, part, query):
        log = self.log(topic, part)
        start, until = int(query.get("from", 0)), now_ms() + int(query.get("wait_ms", 0))
        limit = int(query.get("max_kb", 1024)) * 1024
        while True:
            if not topic.startswith("keyed."):
                log.expire(self.keep_ms)
            if start < log.first:
                return 410, {"first_offset": log.first}
            if log.end > start or now_ms() >= until:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        page = struct.pack(">QQ", log.end, log.first)
        for _, record in log.records[start - log.first :]:
            if len(page) + len(record) > limit:
                break
            page += struct.pack(">I", len(record)) + record
        return 200, page

    def handle_newest(self, topic, query):
        after = unquote(query.get("after", ""))
        keys = sorted(key for key in self.newest.get(topic, {}) if key > after)
        items = []
        for key in keys[:500]:
            value, offset = self.newest[topic][key]
            value = base64.b64encode(value).decode()
            items.append({"key": key, "value": value, "offset": offset})
        end = self.log(topic, 0).end
        return 200, {"items": items, "has_more": len(keys) > 500, "end_offset": end}

    def handle_join(self, body):
        name, topics = body["member_id"], body["topics"]
        fresh = name not in self.members
        self.members[name] = [now_ms() + int(body["ttl_ms"]), topics]
        if fresh:
            self.rebalance()
        parts = [[t, p, 0] for (t, p), owner in self.owners.items() if owner == name]
        return 200, {"generation": self.generation, "ttl_ms": body["ttl_ms"], "parts": parts}


class Run:
    """A run of a task on a minion, as the minion has seen it."""

    def __init__(self, task, run, minion, spec, saved):
        self.task, self.run, self.minion, self.spec, self.saved = task, run, minion, spec, saved
        self.began = now_ms()
        self.ended = None
        self.how = None
        self.noted = False  # taken note of, with no lapse of the lease before
        self.due = self.began + int(spec["ms"] * minion.slow_x) if spec.get("ms") else None


class Minion:
    """A minion with a capacity, a fencing token and a lease."""

    slow_x = 1  # how many times as long the runs take that begin now
    unhealthy = False  # whether starts are answered with 503 and not carried out

    def __init__(self, system, name, zone, labels, cpu):
        self.system, self.name, self.zone, self.labels, self.cpu = system, name, zone, labels, cpu
        self.http = HttpServer(self.handle)
        self.port = 0
        self.alive = False
        self.state = "ready"
        self.seq = 0

    async def start(self):
        self.born = int(time.time() * 1000)
        self.zero = now_ms()
        self.fence = 0
        self.lease = 0
        self.lapsed_at = -1
        self.active = {}  # (task, run) -> Run
        self.ends = []  # (number, Run)
        self.end_number = 0
        self.highest = {}  # task -> highest run seen
        self.alive = True
        self.last_beat = 0
        self.wake = asyncio.Event()
        self.port = self.port or free_port()
        await self.http.start(self.port)
        self.system.record("minion-starts", self.name, born=self.born)
        self.beat()

    def crash(self):
        """Ends the process: its runs end, and nobody learns of it."""
        self.http.stop()
        self.alive = False
        for run in self.active.values():
            run.ended, run.how = now_ms(), "crashed"
            self.system.record("run-ends", run.task, run=run.run, on=self.name, how="crashed")
        self.active = {}
        self.system.record("minion-crashes", self.name)

    def beat(self):
        self.seq += 1
        self.last_beat = now_ms()
        self.system.store.put("keyed.servers", f"servers/{self.name}", {
            "service": "svc", "address": f"{HOST}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": self.labels, "clock_ms": self.clock(), "seq": self.seq,
            "born": self.born,
        })

    def clock(self):
        return 1000 + now_ms() - self.zero

    def used(self):
        return sum(run.spec.get("cpu", 0) for run in self.active.values())

    def extend(self, deadline):
        clock = self.clock()
        if clock > self.lease:
            self.lapsed_at = now_ms()
        self.lease = max(self.lease, min(int(deadline), clock + MAX_HOLD_MS))

    def end(self, run, how):
        del self.active[(run.task, run.run)]
        run.ended, run.how = now_ms(), how
        self.end_number += 1
        self.ends.append((self.end_number, run))
        self.system.record("run-ends", run.task, run=run.run, on=self.name, how=how)
        self.wake.set()
        self.wake = asyncio.Event()

    def advance(self):
        """Ends what is due, and all runs if the lease has lapsed."""
        now = now_ms()
        for run in list(self.active.values()):
            if run.due is not None and run.due <= now:
                self.end(run, "failed" if run.spec.get("fail") else "done")
        if self.active and self.clock() > self.lease:
            self.lapsed_at = now
            for run in list(self.active.values()):
                self.end(run, "lapsed")

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, b""
        wanted = headers.get("x-bamboocart-target-instance")
        if wanted and wanted != self.name:
            return 421, {}
        body = json.loads(body)
        self.advance()
        if int(body.get("fence_token", 0)) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = int(body.get("fence_token", 0))
        if target == "/-/run-start" and self.unhealthy:
            self.system.record("start-refused", body["task_id"], run=body["run_id"], on=self.name)
            return 503, {"clock_ms": self.clock()}
        if target == "/-/run-start":
            return self.run_start(body)
        if target == "/-/run-stop":
            return self.run_stop(body)
        if target == "/-/hold":
            return await self.hold(body)
        return 404, b""

    def run_start(self, body):
        task, number = body["task_id"], int(body["run_id"])
        clock, spec = self.clock(), json.loads(body["job_spec"])
        refuse = lambda reason: (409, {"clock_ms": clock, "reason": reason})
        if (task, number) in self.active:
            self.extend(body["deadline_ms"])
            return 200, {"clock_ms": clock}
        if number <= self.highest.get(task, 0):
            self.extend(body["deadline_ms"])
            return refuse("old")
        if int(body["deadline_ms"]) <= clock:
            return refuse("late")
        self.extend(body["deadline_ms"])
        if self.system.guards and self.used() + spec.get("cpu", 0) > self.cpu:
            return refuse("room")
        run = Run(task, number, self, spec, body.get("last_checkpoint", ""))
        self.active[(task, number)] = run
        self.highest[task] = number
        self.system.runs.append(run)
        self.system.record("run-begins", task, run=number, on=self.name)
        return 200, {"clock_ms": clock}

    def run_stop(self, body):
        task, number = body["task_id"], int(body["run_id"])
        self.highest[task] = max(self.highest.get(task, 0), number)
        if (task, number) in self.active:
            self.end(self.active[(task, number)], "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        process = self.born
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        seen = int(body.get("last_seen", 0))
        for number, run in self.ends:
            if number <= seen:
                run.noted = self.lapsed_at < run.ended
        self.ends = [(number, run) for number, run in self.ends if number > seen]
        until = now_ms() + min(int(body.get("wait_ms", 0)), 2000)
        while not self.ends and now_ms() < until:
            try:
                await asyncio.wait_for(self.wake.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.alive or self.born != process:
            raise Cancelled()
        self.advance()
        active = [[run.task, run.run, "", self.percent(run), 0] for run in self.active.values()]
        ended = [[number, run.task, run.run, run.how, ""] for number, run in self.ends[:500]]
        return 200, {
            "clock_ms": self.clock(), "born": self.born,
            "active_runs": active, "ended_runs": ended,
        }

    def percent(self, run):
        if run.due is None:
            return 100
        return min(99, (now_ms() - run.began) * 100 // max(1, run.due - run.began))


class Instance:
    """A real instance, started with the command of the deploy file."""

    def __init__(self, system, name, zone):
        self.system, self.name, self.zone = system, name, zone
        self.process = None
        self.front, self.ready = free_port(), free_port()
        self.internal = free_port(2)

    def start(self):
        system = self.system
        path = os.path.join(system.folder, f"{self.name}.conf")
        zones = sorted({minion.zone for minion in system.minions} | {self.zone})
        with open(path, "w") as file:
            file.write(SETTINGS.format(
                name=self.name, zone=self.zone, front=f"{HOST}:{self.front}",
                ready=f"{HOST}:{self.ready}", internal=self.internal,
                internal_end=self.internal + 1, store=system.store.address,
                keep_s=system.store.keep_ms // 1000, parts=PARTITIONS,
                zones="\n".join(f"zones.{zone}=reg" for zone in zones),
                bootstrap="true" if self.process is None else "false",
            ))
        output = open(os.path.join(system.folder, f"{self.name}.log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BAMBOOCART_CONFIG"] = path
        self.process = subprocess.Popen(
            system.command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
            stdout=output, stderr=output,
        )
        output.close()
        system.record("instance-starts", self.name)

    def signal(self, number):
        self.system.record("signal", self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.system.record("instance-killed", self.name)


SETTINGS = """node_name={name}
role=entry
machine_class=edge
serves=edge
ip=127.0.0.1
zone={zone}
region=reg
{zones}
listen_addrs.front={front}
listen_addrs.ready={ready}
internal_ports={internal},{internal_end}
seed_nodes=
bootstrap={bootstrap}
discovery=platform
entry_mode=vip
heartbeat_ms=1500
fault_tolerance.machines=2
fault_tolerance.zones=1
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_hold_ms=1000
bounds.stop_grace_ms=50
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.retransmit_ms=1300
control_mode=invoke
platform.address={store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts={parts}
platform.append_ms=1.0
platform.partition_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.request_bytes=2097152
platform.keep_s={keep_s}
platform.partition_mb=200
platform.min_ttl_ms=1000
"""


GIVEN_PORTS = set()


def free_port(count=1):
    """Returns the first of some consecutive ports that are free now.

    They are below those that the system gives to outgoing connections, which could take a
    port while its instance is down.
    """
    while True:
        port = random.randrange(12_000, 30_000, 4)
        if port in GIVEN_PORTS:
            continue
        sockets = []
        try:
            for offset in range(count):
                sockets.append(socket.socket())
                sockets[-1].bind((HOST, port + offset))
            GIVEN_PORTS.add(port)
            return port
        except OSError:
            continue
        finally:
            for it in sockets:
                it.close()


class System:
    """The store, the minions, the instances and the record of a case."""

    def __init__(self, folder, keep_s=300):
        self.case_folder = folder
        self.folder = tempfile.mkdtemp(prefix="bamboocart-review-")
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.began = now_ms()
        self.store = Store(keep_s)
        self.minions = []
        self.instances = []
        self.runs = []
        self.ticker = None
        self.guards = True  # whether minions reject what does not fit
        self.jobs = {}
        with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as file:
            self.command = re.search(r'(?m)^run *= *"(.+)"', file.read()).group(1).split()
        self.command[0] = os.path.join(REPOSITORY, self.command[0])
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the dispatcher is not built")

    def time_s(self):
        return (now_ms() - self.began) / 1000

    def record(self, what, subject, **details):
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self.record_file.write(f"{self.time_s():8.3f} {what} {subject} {text}\n")
        self.record_file.flush()

    async def start(self, instances, minions, queues):
        """Starts all; `instances` are zones, `minions` are (zone, labels, cpu)."""
        await self.store.start()
        routes = [
            {"name": f"r-{name}", "host": f"{name}.example", "path_prefix": f"/{name}/",
             "route_type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
             "priority": 1, "service": "svc", "max_attempts": 3, "slack_factor": 1.6}
            for name in queues
        ]
        services = [{"name": "svc", "health_path": "/health", "max_connections": 64,
                     "protocol": "h1", "tls": False, "admission_check": self.guards,
                     "standby": False}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put("keyed.op", "config", {
            "version": 1, "routes": routes, "services": services, "limits": limits})
        for number, (zone, labels, cpu) in enumerate(minions):
            minion = Minion(self, f"m{number}", zone, labels, cpu)
            self.minions.append(minion)
            await minion.start()
        self.ticker = asyncio.create_task(self.tick())
        for number, zone in enumerate(instances):
            self.instances.append(Instance(self, f"e{number}", zone))
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await self.await_ready(instance)
        await asyncio.sleep(3)

    async def tick(self):
        while True:
            for minion in self.minions:
                if minion.alive:
                    minion.advance()
                    if now_ms() - minion.last_beat >= HEARTBEAT_MS:
                        minion.beat()
                elif now_ms() - minion.last_beat >= 3 * HEARTBEAT_MS:
                    if f"servers/{minion.name}" in self.store.newest["keyed.servers"]:
                        self.store.put("keyed.servers", f"servers/{minion.name}", None)
                        self.record("entry-expires", minion.name)
            await asyncio.sleep(0.004)

    async def await_ready(self, instance, limit_s=15):
        until = now_ms() + limit_s * 1000
        while now_ms() < until:
            status, _ = await call(instance.ready, "GET", "/-/readiness", "x", None, 1)
            if status == 200:
                return
            if instance.process.poll() is not None:
                raise CannotRun(f"{instance.name} ended at its start")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{instance.name} is not ready")

    async def request(self, instance, method, queue, job="", body=None, limit_s=4):
        """Sends a client's request and records it with its answer."""
        status, answer = await call(
            instance.front, method, f"/{queue}/{job}", f"{queue}.example", body, limit_s)
        what = {"POST": "submit", "GET": "query", "DELETE": "cancel"}[method]
        text = json.dumps(answer) if answer is not None else "-"
        self.record(what, job or queue, at=instance.name, status=status, answer=text)
        return status, answer

    async def submit(self, instance, queue, job, body):
        """Submits a job until it is accepted or refused, at the instances in turn."""
        self.jobs[job] = body
        first = self.instances.index(instance)
        for attempt in range(8):
            entry = self.instances[(first + attempt) % len(self.instances)]
            status, _ = await self.request(entry, "POST", queue, job, body)
            if status in (200, 404, 429):
                return status
            await asyncio.sleep(1.3)
        return status

    async def state(self, queue, job):
        """Asks all instances for the state of a job until one answers 200 or 410."""
        for _ in range(4):
            for instance in self.instances:
                if instance.process.poll() is not None:
                    continue
                status, answer = await self.request(instance, "GET", queue, job)
                if status == 200:
                    return answer.get("state")
                if status == 410:
                    return "unknown"
            await asyncio.sleep(0.5)
        return "no answer"

    def runs_of(self, job):
        return [run for run in self.runs if run.task.startswith(job + ".")]

    def active_runs(self, task):
        return [run for run in self.runs if run.task == task and run.ended is None]

    def stop(self):
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
            instance.kill()
        if self.ticker is not None:
            self.ticker.cancel()
        for minion in self.minions:
            minion.http.stop()
        self.store.http.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be run."""


async def call(port, method, path, host, body, limit_s):
    """Sends a request on a new connection; the status is 0 if there was no answer."""
    try:
        return await asyncio.wait_for(exchange(port, method, path, host, body, limit_s), limit_s + 0.2)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def exchange(port, method, path, host, body, limit_s):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        content = json.dumps(body).encode() if body is not None else b""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
            f"X-Bamboocart-Deadline-Ms: {int(limit_s * 1000)}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        found = re.search(r"(?i)content-length: *(\d+)", head)
        text = await reader.readexactly(int(found.group(1)) if found else 0)
        try:
            return status, json.loads(text)
        except ValueError:
            return status, None
    finally:
        writer.transport.abort()


def trouble():
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, case, keep_s=300, limit_s=115):
    """Runs a case: it returns the texts that say how the rule was broken."""
    code = 2
    system = None
    try:
        system = System(os.path.dirname(os.path.abspath(folder)), keep_s)
        broken = asyncio.run(run_case(system, case, limit_s))
        for text in broken:
            system.record("BROKEN", text)
        system.record("verdict", "broken" if broken else "held")
        system.record_file.close()
        print("\n".join(broken) if broken else "the rule held")
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        if system is not None:
            system.record("cannot-run", repr(error))
            system.record_file.close()
    sys.exit(code)


async def run_case(system, case, limit_s):
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
    try:
        return await asyncio.wait_for(case(system), limit_s)
    finally:
        system.stop()
        await asyncio.sleep(0.1)

"""Stand-ins for the platform's store, its promotion call, database members and clients.

They follow PROTOCOL.md. Everything runs in one process on loopback addresses; the proxies are separate
processes, started with the command of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
COMMAND = ["target/release/arbutusrudder", "--platform", "--log", "info", "--metrics-port", "9464"]
ZONES = ["kigali-a", "nairobi-a", "johannesburg-a"]
REGION = {zone: zone.rsplit("-", 1)[0] for zone in ZONES}
HEARTBEAT_S = 1.2
CALL_S = 0.004
RESTART_S = 0.5


class Record:
    """Writes record.txt: one line for each event, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")


class Store:
    """The platform's metadata store (objects)."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, kind, name, spec, finalizers=None):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "created": created,
                "finalizers": finalizers or [], "deletionPending": False}
        objects[name] = {"meta": meta, "spec": spec, "status": None}
        self.events.append((self.revision, kind, objects[name], False))
        asyncio.ensure_future(self.notify())
        return objects[name]

    def remove(self, kind, name):
        known = self.kinds.get(kind, {}).pop(name, None)
        if known:
            self.revision += 1
            gone = {**known, "meta": {**known["meta"], "revision": self.revision}}
            self.events.append((self.revision, kind, gone, True))
            asyncio.ensure_future(self.notify())

    async def handle(self, method, path, query, body, _headers):
        await asyncio.sleep(CALL_S)
        parts = path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        objects = self.kinds.get(kind, {})
        if name is None and method == "GET":
            return await self.list_or_watch(kind, query)
        if name is None and method == "POST":
            name = body["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, body["spec"], body["meta"].get("finalizers"))
        if name not in objects:
            return 404, {}
        known = objects[name]
        if method == "GET":
            return 200, known
        meta = (body or {}).get("meta") or {}
        expected = query.get("revision") or meta.get("revision")
        if expected is not None and int(expected) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if len(parts) > 4:
            known["status"] = body.get("status")
            return 200, known
        self.record.write(f"store: {kind}/{name} := {json.dumps(body['spec'])[:300]}")
        return 200, self.put(kind, name, body["spec"], meta.get("finalizers"))

    async def list_or_watch(self, kind, query):
        if "watch" not in query:
            after = query.get("after", "")
            names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
            items = [self.kinds[kind][name] for name in names[:500]]
            return 200, {"items": items, "hasMore": len(names) > 500, "storeRevision": self.revision}
        since, until = int(query["watch"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [{"object": row, "removed": removed}
                      for revision, of, row, removed in self.events if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


async def serve_http(handler, host="127.0.0.1"):
    """Serves HTTP/1.1 with keep-alive; returns the address."""

    async def connection(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, v in
                           (line.split(":", 1) for line in lines[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await handler(
                    method, url.path, query, json.loads(body) if body else None, headers)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                             f"content-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, 0)
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


class Entry:
    """A committed entry of a log."""

    def __init__(self, term, number, writes):
        self.term, self.number, self.writes, self.at = term, number, writes, time.monotonic()

    def __str__(self):
        return f"{self.term}.{self.number}"


class Group:
    """A service with its members."""

    def __init__(self, world, service):
        self.world, self.service, self.members = world, service, []

    async def start(self):
        ids = sorted("i-" + uuid.uuid4().hex[:10] for _ in ZONES)
        for number, zone in enumerate(ZONES):
            member = Member(self, ids[number], zone, number == 0)
            await member.listen()
            self.members.append(member)
            member.register()
            asyncio.ensure_future(member.follow())

    def leader(self):
        leading = [member for member in self.members if member.primary and member.running]
        return max(leading, key=lambda member: member.term, default=None)


class Member:
    """A member of a service: a primary or a replica with its log."""

    def __init__(self, group, member_id, zone, primary):
        self.group, self.world, self.id, self.zone = group, group.world, member_id, zone
        self.primary, self.term = primary, 1
        self.log, self.received_at = [], []
        self.running, self.deaf, self.slow = True, False, 1.0
        self.connections = set()
        self.slots = asyncio.Semaphore(self.world.slots)
        self.waiting = 0
        self.received = asyncio.Event()
        self.superseded_at = None
        self.born = int(time.time() * 1000)
        self.port = None

    # Logs.

    def position(self, applied=True):
        count = self.applied() if applied else len(self.log)
        return str(self.log[count - 1]) if count else f"{self.term}.0"

    def applied(self):
        if self.primary:
            return len(self.log)
        until = time.monotonic() - self.world.lag_s
        count = len(self.log)
        while count and self.received_at[count - 1] > until:
            count -= 1
        return count

    def lacks(self, floor):
        term, number = (int(part) for part in floor.split("."))
        if number == 0:
            return False
        return self.applied() < number or self.log[number - 1].term < term

    async def commit(self, writes):
        entry = Entry(self.term, len(self.log) + 1, writes)
        self.log.append(entry)
        self.received_at.append(time.monotonic())
        self.world.record.write(f"{self.id}: commit {entry} of {[w[0] for w in writes]}")
        if self.world.on_commit:
            self.world.on_commit(self, entry)
        while self.world.sync and self.running and not any(
                len(other.log) >= entry.number and other.log[entry.number - 1] is entry
                for other in self.group.members if other is not self):
            await asyncio.sleep(0.001)
        return entry

    async def follow(self):
        """Receives the primary's commits over the network; a second after a promotion that it can
        reach, a superseded primary becomes a replica."""
        while True:
            await asyncio.sleep(0.002)
            leader = self.group.leader()
            if leader is None or leader is self or not self.running:
                continue
            if self.primary:
                if self.superseded_at is None:
                    self.superseded_at = time.monotonic() + 1.0
                if time.monotonic() < self.superseded_at:
                    continue
                self.become_replica("reached the new primary")
            if self.deaf:
                continue
            until = time.monotonic() - 0.005
            same = 0
            while same < min(len(self.log), len(leader.log)) and self.log[same] is leader.log[same]:
                same += 1
            if same < len(self.log):
                self.world.record.write(f"{self.id}: rolls back {len(self.log) - same} commits")
                del self.log[same:], self.received_at[same:]
            for entry in leader.log[same:]:
                if entry.at > until:
                    break
                self.log.append(entry)
                self.received_at.append(time.monotonic())
            self.term = leader.term

    def become_replica(self, why):
        if self.primary:
            self.world.record.write(f"{self.id}: is a replica now ({why})")
        self.primary, self.superseded_at = False, None
        self.register()

    # Registration.

    def register(self):
        if self.running:
            spec = {"service": self.group.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                    "version": "v1", "capacity": self.world.slots, "state": "ready", "warmupLeftMs": 0,
                    "dbRole": "primary" if self.primary else "replica", "sequence": 1, "born": self.born}
            self.world.store.put("servers", self.id, spec)

    # Disruptions.

    async def crash(self, for_s):
        self.world.record.write(f"DISRUPTION {self.id} (a {'primary' if self.primary else 'replica'}) "
                                f"crashes for {for_s} s at {self.position(False)}")
        self.running = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        asyncio.ensure_future(self.lapse())
        await asyncio.sleep(for_s)
        self.running, self.born = True, int(time.time() * 1000)
        leader = self.group.leader()
        if leader is not None and leader is not self and leader.term > self.term:
            self.primary = False
        await self.listen()
        self.register()
        self.world.record.write(f"{self.id}: is back as a {'primary' if self.primary else 'replica'}")

    async def lapse(self):
        born = self.born
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not self.running and self.born == born:
            self.world.store.remove("servers", self.id)

    # Connections.

    async def listen(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", self.port or 0, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    async def work(self, seconds):
        """Occupies a slot; false if none is free and too many wait."""
        if self.waiting >= self.world.queue and self.slots.locked():
            return False
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(seconds * self.slow)
        finally:
            self.slots.release()
        return True

    async def connection(self, reader, writer):
        self.connections.add(writer)
        try:
            line = await self.line(reader)
            fields = line.split(" ")
            if len(self.connections) > self.world.cap:
                writer.write(b"ERROR CONNLIMIT full\r\n")
            elif (fields[0] != "STARTUP" or fields[1] != self.group.service
                  or (len(fields) > 3 and fields[3] != self.id)):
                writer.write(f"ERROR MISROUTED {self.id}\r\n".encode())
            else:
                await self.work(0.012)
                writer.write(f"READY I {self.position()}\r\n".encode())
                await Session(self, fields[2], reader, writer).run()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    @staticmethod
    async def line(reader):
        return (await reader.readuntil(b"\r\n"))[:-2].decode()


class Session:
    """One connection to a member."""

    def __init__(self, member, user, reader, writer):
        self.member, self.world, self.user = member, member.world, user
        self.reader, self.writer = reader, writer
        self.names, self.values = {}, {}
        self.transaction = None  # None, or [read_only, writes, failed]

    async def run(self):
        while True:
            line = await Member.line(self.reader)
            if line == "TERMINATE":
                return
            word, request_id, text = line.split(" ", 2)
            if word != "QUERY":
                return
            rows, outcome = await self.query(request_id, text)
            state = "I" if self.transaction is None else "E" if self.transaction[2] else "T"
            answer = "".join(f"DATAROW {row}\r\n" for row in rows)
            answer += f"{outcome}\r\nREADY {state} {self.member.position()}\r\n"
            self.writer.write(answer.encode())
            await self.writer.drain()

    def error(self, code, text=""):
        if self.transaction is not None:
            self.transaction[2] = True
        return [], f"ERROR {code} {text}".rstrip()

    async def query(self, request_id, text):
        member = self.member
        floor = None
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
        if verb == "ROLLBACK":
            self.transaction = None
            return [], "COMPLETE -"
        if self.transaction is not None and self.transaction[2]:
            if verb == "COMMIT":
                self.transaction = None
            return [], "ERROR MALFORMED the transaction failed"
        if floor and member.lacks(floor):
            return self.error("LAGGING", member.position())
        plain = self.transaction is not None and not self.transaction[0]
        if plain and not member.primary and not (verb == "COMMIT" and not self.transaction[1]):
            return self.error("READONLY", member.id)
        if verb == "RESET":
            self.names, self.values = {}, {}
            return [], "COMPLETE -"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return [], "COMPLETE -"
        if verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.names[name] = shape.split(" ")[0]
            return [], "COMPLETE -"
        if verb == "STATUS":
            if not await member.work(0.0005):
                return [], "ERROR BUSY"
            role = "primary" if member.primary else "replica"
            return [f"{role} {member.term} {member.position(False)} 0 0 "
                    f"{self.world.slots - member.slots._value} {len(member.connections)}"], "COMPLETE -"
        if verb == "STEPDOWN":
            if member.primary and int(rest) > member.term:
                member.become_replica("STEPDOWN")
            return [], "COMPLETE -"
        if verb == "BEGIN":
            if rest != "READ" and not member.primary:
                return self.error("READONLY", member.id)
            self.transaction = [rest == "READ", [], False]
            return [], "COMPLETE -"
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.names:
                return self.error("NOSTMT", name)
            verb = self.names[name]
        if verb == "READ":
            return await self.read(request_id, rest)
        if verb == "WRITE":
            return await self.write(request_id, rest)
        if verb == "COMMIT" and self.transaction is not None:
            return await self.commit(request_id)
        return self.error("MALFORMED")

    def ran(self, request_id, what):
        self.world.runs.append((request_id, what, self.member.id))
        if self.world.record_reads or not what.startswith("READ"):
            self.world.record.write(f"{self.member.id}: runs {request_id} {what!r}")
        return f"COMPLETE {self.member.id}/{request_id}"

    async def read(self, request_id, item):
        if not await self.member.work(random.expovariate(1 / self.world.read_s)):
            return self.error("BUSY")
        count = self.member.applied()
        data = [w[2] for entry in self.member.log[:count] for w in entry.writes if w[1] == item]
        return [data[-1] if data else "none"], self.ran(request_id, f"READ {item}")

    async def write(self, request_id, rest):
        item, _, data = rest.partition(" ")
        if not self.member.primary or (self.transaction and self.transaction[0]):
            return self.error("READONLY", self.member.id)
        if not await self.member.work(self.world.write_s):
            return self.error("BUSY")
        if not self.member.primary:
            return self.error("READONLY", self.member.id)
        outcome = self.ran(request_id, f"WRITE {rest}")
        change = (request_id, item, data)
        if self.transaction is not None:
            self.transaction[1].append(change)
        else:
            await self.member.commit([change])
        return [], outcome

    async def commit(self, request_id):
        _, writes, _ = self.transaction
        if writes:
            if not await self.member.work(self.world.write_s):
                return [], "ERROR BUSY"
            if not self.member.primary:
                return self.error("READONLY", self.member.id)
            await self.member.commit(writes)
        self.transaction = None
        return [], self.ran(request_id, "COMMIT")


class Proxy:
    """One instance of the system, a process of its own."""

    def __init__(self, world, number, zone):
        self.world, self.number, self.zone = world, number, zone
        self.name = f"frontend-{zone}-{number}"
        self.ip = world.loopback(number)
        self.path = os.path.join(world.temporary, f"{self.name}.json")
        self.process = None

    def settings(self):
        return {
            "nodeName": self.name, "role": "proxy", "machineClass": "frontend", "serves": ["frontend"],
            "ip": self.ip, "zone": self.zone, "region": REGION[self.zone], "zones": REGION,
            "listenAddrs": {"frontend": f"{self.ip}:8784", "ready": f"{self.ip}:8785"},
            "internalPortRange": [7440, 7455], "seeds": [], "bootstrap": True, "faultCounted": False,
            "limits": {"cpuQuota": 0.25, "cpuSpeedFactor": 1, "memoryMb": 260, "maxFds": 4300,
                       "bandwidthMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entryPoint": "virtual_ip", "heartbeatMs": 1200,
            "bounds": {"stabilityWindowMs": 5000, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200,
                       "configApplyMs": 3000, "fencingEnforced": False, "thawMs": 300},
            "platform": {"address": self.world.store_address, "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
            "cloudApi": {"address": self.world.promotion_address, "ratePerS": 50.0,
                         "duties": ["promotion"], "dutyPerS": 50.0},
        }

    def start(self):
        with open(self.path, "w") as file:
            json.dump(self.settings(), file)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["ARBUTUSRUDDER_BOOT"] = self.path
        log = open(os.path.join(self.world.temporary, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.world.record.write(f"{self.name}: started as process {self.process.pid}")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def kill_and_restart(self):
        self.world.record.write(f"DISRUPTION {self.name}: SIGKILL")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(RESTART_S)
        self.start()


class World:
    """A small deployment: store, promotion call, services of three members each, and proxies. Only the
    first service has traffic."""

    def __init__(self, folder, sync=0, slots=5, cap=33, queue=40, lag_s=0.008, promote_s=1.0,
                 read_s=0.033, write_s=0.011,
                 services=3):
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="rudder-review-")
        self.sync, self.slots, self.cap, self.queue = sync, slots, cap, queue
        self.lag_s, self.promote_s, self.read_s, self.write_s = lag_s, promote_s, read_s, write_s
        self.groups = [Group(self, f"scores{number}{uuid.uuid4().hex[:4]}") for number in range(services)]
        self.store = Store(self.record)
        self.proxies = []
        self.runs, self.promotions = [], []
        self.record_reads = False
        self.on_promotion = self.on_commit = None
        self.net = random.randrange(20, 220), random.randrange(1, 250)

    def loopback(self, number):
        while True:
            ip = f"127.{self.net[0]}.{self.net[1]}.{number + 1}"
            try:
                for port in (8784, 8785, 7440, 9464):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                return ip
            except OSError:
                self.net = random.randrange(20, 220), random.randrange(1, 250)

    @property
    def members(self):
        return self.groups[0].members

    async def start(self, proxies):
        self.store_address = await serve_http(self.store.handle)
        self.promotion_address = await serve_http(self.promote)
        for group in self.groups:
            await group.start()
        self.publish()
        for number in range(proxies):
            proxy = Proxy(self, number, ZONES[number % len(ZONES)])
            self.proxies.append(proxy)
            proxy.start()
        for proxy in self.proxies:
            await self.await_ready(proxy)

    def publish(self):
        def route(name, kind, timeout, target, priority, staleness=None):
            entry = {"name": f"r-{name}", "host": name, "pathPrefix": "/", "type": kind, "timeoutMs": timeout,
                     "targetLatencyMs": target, "priority": priority,
                     "service": self.groups[0].service,
                     "maxAttempts": 2}
            return {**entry, "maxStalenessMs": staleness} if staleness else entry

        spec = {"version": 3, "routes": [
            route("orders", "primary", 1000, 500, 1),
            route("browse", "bounded_staleness", 3000, 1200, 2, 1500),
            route("proofs", "read_your_writes", 1000, 1000, 2, 2500),
        ], "services": [{"name": group.service, "healthCheckPath": "/healthz", "maxConnections": self.cap,
                         "protocol": "h1", "tlsEnabled": False, "syncReplicas": self.sync}
                        for group in self.groups],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "txIdleMs": 3000}}
        self.store.put("config", "main", spec)

    async def await_ready(self, proxy):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(proxy.ip, 8785)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{proxy.name} is not ready")

    async def promote(self, method, path, _query, body, headers):
        if (method, path) != ("POST", "/promotion"):
            return 404, {}
        holder = headers.get("x-arbutusrudder-lease-holder")
        token = int(headers.get("x-arbutusrudder-fencing-token", 0))
        members = [m for group in self.groups if group.service == body["service"] for m in group.members]
        target = next((m for m in members if m.id == body["id"]), None)
        self.record.write(f"promotion call: {body['id']} by {holder}, token {token}")
        if target is None or not target.running:
            return 409, {}
        if target.group.leader() is not target:
            asyncio.ensure_future(self.take_effect(target))
        if self.on_promotion:
            self.on_promotion(holder, target)
        await asyncio.sleep(CALL_S)
        return 200, {}

    async def take_effect(self, target):
        await asyncio.sleep(self.promote_s)
        if not target.running or target.group.leader() is target:
            return
        target.term = max(member.term for member in target.group.members) + 1
        target.primary = True
        self.promotions.append((time.monotonic(), target, list(target.log)))
        self.record.write(f"{target.id}: leads term {target.term} from {target.position()}")
        target.register()

    def stop(self):
        for proxy in self.proxies:
            proxy.stop()
        shutil.rmtree(self.temporary, ignore_errors=True)


class Client:
    """One session with one proxy."""

    def __init__(self, world, proxy, database):
        self.world, self.proxy, self.database = world, proxy, database
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.proxy.ip, 8784, limit=1 << 21)
        self.writer.write(f"STARTUP {self.database} u3f1\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def query(self, request_id, text, limit_s):
        """Returns the outcome line, rows and the state; raises if the connection breaks."""
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        return await asyncio.wait_for(self.answer(), limit_s)

    async def answer(self):
        rows, outcome = [], None
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                outcome = line
            elif word == "READY":
                return outcome, rows, rest
            else:
                raise ConnectionError(line)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(main):
    """Runs a case; exit code 2 if it could not run."""
    try:
        code = asyncio.new_event_loop().run_until_complete(main())
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.stderr.flush()
    # All processes have ended; the stand-ins' open connections end with this one.
    os._exit(code)

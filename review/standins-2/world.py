"""Stand-ins for the users' platform on loopback: store, routers, hosts and clients, and the processes under test.

All stand-ins run in one asyncio loop. They follow the page PROTOCOL of the users' platform. The processes under test are
started with the run command of deploy/system.toml; their settings have the keys of the templates in deploy/.
"""

import asyncio
import atexit
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RUN_COMMAND = "target/apps/daisydoor"

SYN, ACK, FIN, RST, BOUNCED = 2, 64, 8, 1, 4
HEADER = struct.Struct("<HIIIIBBHIHI")
MAX_DATA = 1200
RESET_WINDOW = 76_800
READINESS_INTERVAL = 0.5
HEARTBEAT = 1.2
HISTORY_S = 20.0
PAGE_BYTES = 1_000_000
CONTACT_S = 4.0
FLOW_TTL_S = 60.0
IDLE_TIMEOUT_S = 15.0


def ip_number(text):
    return int.from_bytes(socket.inet_aton(text), "big")


def after(a, b):
    """Whether the 32-bit sequence number a is after b."""
    return 0 < ((a - b) & 0xFFFFFFFF) < 1 << 31


class Packet:
    """One datagram: header fields and data. A flow is named by the client's and the service's address and port."""

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"", total=None, echo=0, pad=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.pad = echo, pad
        self.total = self.checksum() if total is None else total

    def checksum(self):
        head = HEADER.pack(len(self.data), 0, 0, self.seq, self.ack, self.flags & ~BOUNCED, 0, self.dport, self.src,
                           self.sport, self.dst)
        return int.from_bytes(hashlib.blake2s(head + self.data, key=b"stand-in", digest_size=4).digest(), "big") | 1

    def encode(self):
        return HEADER.pack(len(self.data), self.total, self.echo, self.seq, self.ack, self.flags, self.pad, self.dport,
                           self.src, self.sport, self.dst) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEADER.size:
            return None
        size, total, echo, seq, ack, flags, pad, dport, src, sport, dst = HEADER.unpack_from(raw)
        if size != len(raw) - HEADER.size:
            return None
        return Packet(src, sport, dst, dport, flags, seq, ack, raw[HEADER.size:], total, echo, pad)

    def is_intact(self):
        return self.total == self.checksum()


class Socket(asyncio.DatagramProtocol):
    """UDP socket that passes decoded packets to a handler."""

    def __init__(self, handler):
        self.handler = handler
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        value = Packet.decode(data)
        if value is not None:
            self.handler(value)

    def error_received(self, exc):
        pass


class Store:
    """The metadata store: one revision counter, the whole history, range and watch calls."""

    def __init__(self, world):
        self.world = world
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.history_start = 0
        self.last_answer = None, b""
        self.silent = set()
        self.waited_at = {}

    def watching(self, within_s):
        """Names of the machines of which a watch waited for events in the last seconds."""
        return {name for name, at in self.waited_at.items() if self.world.now() - at < within_s}

    def put(self, key, value):
        """Writes a JSON value, or bytes that are given as base64 text."""
        self.revision += 1
        text = value if isinstance(value, str) else base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["CreatedRev"] if key in self.items else self.revision
        item = {"Key": key, "Value": text, "Revision": self.revision, "CreatedRev": created, "Lease": 0}
        self.items[key] = item
        self.add_event(item)
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.add_event({"Key": key, "Revision": self.revision, "Tombstone": True})

    def add_event(self, event):
        self.events.append((event["Revision"], time.monotonic(), json.dumps(event)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def listen(self, name, ip, port):
        """Serves one machine; `name` in `silent` gets no answer and no new events."""
        async def serve(reader, writer):
            try:
                while True:
                    request = (await reader.readuntil(b"\r\n\r\n")).decode()
                    path = request.split(" ")[1]
                    status, body = await self.answer(name, path)
                    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
                    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n"
                    writer.write(head.encode() + raw)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
        return await asyncio.start_server(serve, ip, port)

    def events_after(self, start):
        """All events after a revision, or 410 if some are older than the history."""
        while self.events and time.monotonic() - self.events[0][1] > HISTORY_S:
            self.history_start = self.events.pop(0)[0]
        if start < self.history_start:
            return 410, {}
        key = (start, self.revision)
        if self.last_answer[0] != key:
            listed = ", ".join(text for revision, _, text in self.events if revision > start)
            self.last_answer = key, f'{{"events": [{listed}], "StoreRevision": {self.revision}}}'.encode()
        return 200, self.last_answer[1]

    async def answer(self, name, path):
        await asyncio.sleep(0.004)
        while name in self.silent:
            # A connection on which a response is lost returns nothing further.
            await asyncio.sleep(3600)
        url = urllib.parse.urlparse(path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("Prefix", "")) and k > query.get("after", ""))
            page, size = [], 0
            for key in keys[:500]:
                if page and size + len(self.items[key]["Value"]) > PAGE_BYTES:
                    break
                page.append(key)
                size += len(self.items[key]["Value"])
            return 200, {"items": [self.items[k] for k in page], "HasMore": len(page) < len(keys),
                         "StoreRevision": self.revision}
        if url.path == "/-/kv-watch":
            start, deadline = int(query["after"]), time.monotonic() + int(query.get("WaitMs", "0")) / 1000
            while self.revision <= start and time.monotonic() < deadline:
                changed = self.changed
                if deadline - time.monotonic() > 0.5:
                    self.waited_at[name] = self.world.now()
                try:
                    await asyncio.wait_for(changed.wait(), max(0.001, deadline - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            if name in self.silent:
                await asyncio.sleep(3600)
            return self.events_after(start)
        return 404, {}


class HostFlow:
    def __init__(self, own, peer):
        self.own_next, self.client_next = own, peer
        self.is_open = self.is_ended = self.is_busy = False
        self.pending = None


class Host:
    """A back end: holds flows, runs requests, returns what it does not hold."""

    def __init__(self, world, name, service, zone, ip):
        self.world, self.name, self.service, self.zone, self.ip = world, name, service, zone, ip
        self.id = f"{name}-{world.random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_registered = True
        self.work_s = 0.04
        self.flows = {}
        self.socket = None
        self.beat = None

    async def start(self):
        loop = asyncio.get_running_loop()
        _, self.socket = await loop.create_datagram_endpoint(lambda: Socket(self.on_packet),
                                                             local_addr=(self.ip, self.world.app_port))
        self.beat = asyncio.create_task(self.write_entries())

    def entry(self):
        self.sequence += 1
        return {"Id": self.id, "Service": self.service, "Address": f"{self.ip}:{self.world.app_port}",
                "Zone": self.zone, "Version": "v1", "Concurrency": 5, "State": self.state, "ColdRemainingMs": 0,
                "Sequence": self.sequence, "born": self.born}

    def publish(self):
        self.world.store.put("servers/" + self.id, self.entry())

    async def write_entries(self):
        while True:
            if self.is_registered:
                self.publish()
            await asyncio.sleep(HEARTBEAT)

    def has_open(self, flow):
        it = self.flows.get(flow)
        return it is not None and it.is_open and not it.is_ended

    def send(self, flow, it, flags, seq, data=b""):
        client, cport, service, sport = flow
        value = Packet(service, sport, client, cport, flags, seq, it.client_next, data)
        self.socket.transport.sendto(value.encode(), (self.ip, self.world.outbound_port))

    def on_packet(self, value):
        if not value.is_intact():
            self.world.violation(f"UNASKED host {self.name} got a packet with a wrong checksum")
            return
        flow = (value.src, value.sport, value.dst, value.dport)
        it = self.flows.get(flow)
        if value.flags & SYN:
            if it is None:
                it = self.flows[flow] = HostFlow(self.world.random.randrange(1 << 32), value.seq + 1)
                it.own_next += 1
                self.world.note("opening taken", host=self.name, flow=flow_text(flow))
            self.send(flow, it, SYN | ACK, it.own_next - 1)
            return
        is_known = it is not None and ((value.ack - it.own_next + 100_000) & 0xFFFFFFFF) < 200_000
        if not is_known:
            returned = Packet(value.src, value.sport, value.dst, value.dport, value.flags | BOUNCED, value.seq,
                              value.ack, value.data, value.total, value.echo, 0)
            self.socket.transport.sendto(returned.encode(), (self.ip, self.world.outbound_port))
            return
        if not it.is_open:
            it.is_open = True
            self.world.note("flow open", host=self.name, flow=flow_text(flow))
        if it.pending is not None and value.ack == it.own_next & 0xFFFFFFFF:
            it.pending = None
        if value.data:
            self.on_data(flow, it, value)
        if value.flags & FIN:
            it.client_next = (value.seq + len(value.data) + 1) & 0xFFFFFFFF
            self.send(flow, it, ACK | FIN, it.own_next)
            it.is_ended = True

    def on_data(self, flow, it, value):
        if it.is_ended:
            self.send(flow, it, RST, it.own_next)
            return
        is_new = value.seq == it.client_next & 0xFFFFFFFF
        if is_new:
            it.client_next = (value.seq + len(value.data)) & 0xFFFFFFFF
        self.send(flow, it, ACK, it.own_next)
        if is_new:
            request = value.data.decode().strip()
            if request not in self.world.requests:
                self.world.violation(f"UNASKED host {self.name} runs {request}, which no client sent")
            self.world.note("run", host=self.name, request=request)
            asyncio.get_running_loop().call_later(self.work_s, self.finish, flow, it, request)

    def finish(self, flow, it, request):
        answer = f"200 {request} {self.service} ".encode().ljust(2000, b".")
        start = it.own_next
        it.own_next = (it.own_next + len(answer)) & 0xFFFFFFFF
        it.pending = (start, answer)
        asyncio.create_task(self.deliver(flow, it, start, answer))

    async def deliver(self, flow, it, start, answer):
        for attempt in range(9):
            for i in range(0, len(answer), MAX_DATA):
                self.send(flow, it, ACK, start + i, answer[i:i + MAX_DATA])
            await asyncio.sleep(min(0.2 * 2 ** attempt, 1.6))
            if it.pending is None or it.pending[0] != start:
                return


class ClientFlow:
    """One flow of a client, from its opening to its end."""

    def __init__(self, client, port, service):
        self.client, self.port, self.service = client, port, service
        self.id = (ip_number(client.ip), port, *service)
        self.next = client.world.random.randrange(1 << 32)
        self.start = self.next
        self.received = None
        self.parts = {}
        self.phase = "opening"
        self.request = None
        self.answer = b""
        self.opened = asyncio.Event()
        self.answered = asyncio.Event()
        self.was_reset = False
        self.opened_at = self.used_at = client.world.now()
        self.idle_s = 0.0

    def send(self, flags, seq, ack, data=b""):
        value = Packet(self.id[0], self.id[1], self.id[2], self.id[3], flags, seq, ack, data)
        entry = self.client.world.router.choose(self.id, self.client.zone)
        if entry is not None:
            self.client.socket.transport.sendto(value.encode(), (entry, self.client.world.packet_port))

    async def open(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            if self.phase != "opening":
                break
            self.send(SYN, self.start, copy)
            try:
                await asyncio.wait_for(self.opened.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if self.phase == "opening":
            self.phase = "failed"
        self.used_at = self.client.world.now()
        return self.phase == "open"

    async def ask(self, name, deadline_s):
        """Sends a request and waits for its answer. Returns it, or None at the deadline or after a reset."""
        world = self.client.world
        self.idle_s = world.now() - self.used_at
        world.requests.add(name)
        world.note("sent", request=name, flow=flow_text(self.id))
        self.request, self.answer = name, b""
        self.answered.clear()
        data, seq = name.encode(), self.next
        self.next = (self.next + len(data)) & 0xFFFFFFFF
        end = time.monotonic() + deadline_s
        wait = 0.2
        while self.phase == "open" and not self.answered.is_set() and time.monotonic() < end:
            self.send(ACK, seq, self.received, data)
            try:
                await asyncio.wait_for(self.answered.wait(), min(wait, max(0.001, end - time.monotonic())))
            except asyncio.TimeoutError:
                pass
            wait = min(wait * 2, 1.6)
        result = self.answer if len(self.answer) == 2000 else None
        self.request = None
        self.used_at = world.now()
        world.note("answered" if result else "not answered", request=name, phase=self.phase)
        return result

    def on_packet(self, value):
        world = self.client.world
        if value.flags & RST:
            self.on_reset(value, world)
            return
        if value.flags & SYN:
            if self.phase == "opening":
                self.phase = "open"
                self.next = (self.start + 1) & 0xFFFFFFFF
                self.received = (value.seq + 1) & 0xFFFFFFFF
                self.opened.set()
                self.send(ACK, self.next, self.received)
            return
        if self.phase != "open" or not value.data:
            return
        self.parts[value.seq] = value.data
        while self.received in self.parts:
            data = self.parts.pop(self.received)
            self.answer += data
            self.received = (self.received + len(data)) & 0xFFFFFFFF
        self.send(ACK, self.next, self.received)
        if self.request is not None and len(self.answer) >= 2000:
            if self.answer.decode().split()[1] != self.request:
                world.violation(f"MIXED {self.request} got the answer to another request")
            self.answered.set()

    def on_reset(self, value, world):
        by_system = value.total == 0
        if not by_system and not value.is_intact():
            world.violation(f"MIXED flow {flow_text(self.id)} got a packet that its sender did not write so")
            return
        if self.phase == "opening":
            self.phase = "reset"
            self.opened.set()
        elif self.phase == "open":
            distance = (value.seq - self.received + RESET_WINDOW) & 0xFFFFFFFF
            if by_system and distance > 2 * RESET_WINDOW:
                return
            self.phase = "reset"
            self.was_reset = True
            self.answered.set()
            holder = next((it for it in world.hosts.values() if it.has_open(self.id)), None)
            world.note("reset", flow=flow_text(self.id), by="system" if by_system else "host",
                       holder=holder.name if holder else None, request=self.request)
            if by_system and holder is not None:
                world.on_open_flow_reset(self, holder)


class Client:
    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.flows = {}
        self.socket = None
        self.next_port = 40_000

    async def start(self):
        loop = asyncio.get_running_loop()
        _, self.socket = await loop.create_datagram_endpoint(lambda: Socket(self.on_packet),
                                                             local_addr=(self.ip, self.world.packet_port))

    def new_flow(self, service):
        self.next_port += 1
        it = self.flows[self.next_port] = ClientFlow(self, self.next_port, service)
        return it

    def on_packet(self, value):
        if value.dport in self.flows:
            self.flows[value.dport].on_packet(value)


class Router:
    """The platform's routers: readiness probes twice a second, and a hash of the flow over the nodes in rotation."""

    def __init__(self, world):
        self.world = world
        self.nodes = {}

    def add(self, ip, zone):
        self.nodes[ip] = {"zone": zone, "misses": 2}
        asyncio.create_task(self.probe(ip))

    async def probe(self, ip):
        while True:
            started = time.monotonic()
            is_ready = False
            try:
                is_ready = await asyncio.wait_for(self.get_readiness(ip), READINESS_INTERVAL)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            node = self.nodes[ip]
            node["misses"] = 0 if is_ready else node["misses"] + 1
            await asyncio.sleep(max(0.0, READINESS_INTERVAL - (time.monotonic() - started)))

    async def get_readiness(self, ip):
        reader, writer = await asyncio.open_connection(ip, self.world.admin_port)
        try:
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    def choose(self, flow, zone):
        nodes = [ip for ip, it in self.nodes.items() if it["zone"] == zone]
        ready = [ip for ip in nodes if self.nodes[ip]["misses"] < 2]
        if 2 * len(ready) < len(nodes):
            ready = nodes
        if not ready:
            return None
        return max(ready, key=lambda ip: hashlib.blake2s(repr((flow, ip)).encode()).digest())


def flow_text(flow):
    return f"{socket.inet_ntoa(flow[0].to_bytes(4, 'big'))}:{flow[1]}>{socket.inet_ntoa(flow[2].to_bytes(4, 'big'))}:{flow[3]}"


class World:
    """Machines, stand-ins and the record of one run."""

    def __init__(self, folder, seed=1):
        self.random = random.Random(seed)
        self.started = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="daisydoor-review-")
        self.processes = {}
        self.hosts = {}
        self.requests = set()
        self.violations = []
        self.store = Store(self)
        self.router = Router(self)
        self.pick_addresses()
        self.on_open_flow_reset = lambda flow, holder: None
        self.slowest = 0.0
        self.in_touch_from = None
        atexit.register(self.close)
        # Ends the processes under test also if the case itself is ended.
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    def pick_addresses(self):
        """Chooses a loopback network and ports on which nothing else listens."""
        while True:
            self.prefix = f"127.{self.random.randrange(10, 250)}.{random.randrange(1, 250)}"
            base = random.randrange(20_000, 30_000)
            self.packet_port, self.admin_port, self.outbound_port = base, base + 1, base + 2
            self.peer_port, self.app_port, self.store_port = base + 3, base + 4, base + 5
            try:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    for port in range(base, base + 6):
                        with socket.socket(socket.AF_INET, kind) as it:
                            it.bind((f"{self.prefix}.1", port))
                return
            except OSError:
                continue

    def ip(self, last):
        return f"{self.prefix}.{last}"

    def now(self):
        return time.monotonic() - self.started

    def note(self, what, **fields):
        self.record.write(f"{self.now():8.3f} {what} " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n")

    def is_excused(self, flow):
        """Whether the rule FLOW does not count a reset of an open flow now: not all machines have been in touch for
        ContactMs, or the flow is older than FlowTtlS or was idle for longer than IdleTimeoutMs before its request."""
        is_in_touch = self.in_touch_from is not None and self.now() >= self.in_touch_from
        return not is_in_touch or self.now() - flow.opened_at >= FLOW_TTL_S or flow.idle_s >= IDLE_TIMEOUT_S

    def violation(self, text):
        self.violations.append(text)
        self.note("VIOLATION", text=text)

    async def watch_turns(self):
        """Measures how late the loop of the stand-ins is, which must not be what a case shows."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.slowest = max(self.slowest, time.monotonic() - before - 0.01)

    async def start_store_for(self, name, last):
        await self.store.listen(name, self.ip(last), self.store_port)

    def write_settings(self, name, role, zone, last, seeds, first_start, service=None, grace_s=6):
        at = lambda port: f'"{self.ip(last)}:{port}"'
        lines = [f"role: {role}", f'name: "{name}"', f'zone: "{zone}"', f"packets: {at(self.packet_port)}",
                 f"admin: {at(self.admin_port)}", f"peer_port: {self.peer_port}", f"platform: {at(self.store_port)}",
                 "seeds: [" + ", ".join(f'"{it}"' for it in seeds) + "]",
                 f"first_start: {'true' if first_start else 'false'}", "flow_ttl_s: 60", f"grace_s: {grace_s}"]
        if service is not None:
            lines += ["agent:", f'  service: "{service}"', f"  host: {at(self.app_port)}",
                      f"  outbound: {at(self.outbound_port)}"]
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")
        return path

    def start_process(self, name):
        path = os.path.join(self.folder, name + ".yaml")
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "DAISYDOOR_BOOT": path}
        self.processes[name] = subprocess.Popen([RUN_COMMAND], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
                                                stderr=log)
        log.close()
        self.note("process started", name=name)

    def signal(self, name, number):
        self.note("signal", name=name, number=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def log_of(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8", errors="replace") as it:
            return it.read()

    def close(self):
        for it in self.processes.values():
            if it.poll() is None:
                it.send_signal(signal.SIGKILL)
                it.wait()
        self.processes = {}
        if not self.record.closed:
            self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


def run(main, seconds=115):
    """Runs a case; exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    async def limited():
        return await asyncio.wait_for(main(), seconds)
    try:
        result = asyncio.run(limited())
    except Exception as error:  # the case could not run, whatever the reason
        print("could not run:", repr(error))
        result = 2
    raise SystemExit(result)

"""Stand-ins for the cases of the second review: discovery, hosts, clients and the platform.

Everything runs on loopback addresses and the real clock. The gateway is started with the `run` command of
deploy/balancer.toml, as a process of its own. All else runs on one asyncio loop of the script.
"""
import asyncio
import copy
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CantRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """record.txt of a case: what was sent, answered and run, with the time in ms since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return (time.monotonic() - self.start) * 1000

    def __call__(self, text):
        self.file.write(f"{self.now():10.1f} {text}\n")
        self.file.flush()


_next_port = os.getpid() * 37 % 9000


def free_port(address="127.0.0.1"):
    """A free port below the range of ephemeral ports, which outgoing connections may take at any time."""
    global _next_port
    for _ in range(9000):
        _next_port = (_next_port + 1) % 9000
        with socket.socket() as probe:
            try:
                probe.bind((address, 10000 + _next_port))
                return 10000 + _next_port
            except OSError:
                continue
    raise CantRun("no free port")


# ---- Settings of a small deployment, with the names and figures of the pages --------------------------------

SETTINGS = {
    "azs": ["hofdi"],
    "categories": [
        {"name": "plan-view", "deadlineMs": 1500.0, "sloMs": 600.0, "group": "all", "idempotency": "pure",
         "importance": 2.0, "lateWorth": 0.0, "repeatWindowMs": 5000.0, "streamed": False},
        {"name": "charge-ship", "deadlineMs": 4000.0, "sloMs": 800.0, "group": "all",
         "idempotency": "side_effect", "importance": 5.0, "lateWorth": 0.0, "repeatWindowMs": 5000.0,
         "streamed": False},
    ],
    "clientHabits": {"marksRetry": True},
    "countedBy": "work",
    "family": "proxy",
    "familyInfo": {"warmKeys": False},
    "limits": {"cancelling": True, "connIdleMs": 60000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
               "dialTimeoutMs": 250.0, "maxAttempts": 4, "maxOpen": 20000, "maxRetryAfterMs": 2000.0,
               "mayProbe": False, "mayTell": False, "multiplex": 1, "parallelTries": True,
               "retryAfter": True},
    "machineTypes": ["full-4"],
    "membershipMode": "ask",
    "overShareWorth": 0.1,
    "peersTotal": 1,
    "prices": {"connection": 0.03, "crossZone": 0.0071, "handshake": 0.03, "lateFail": 0.05,
               "membershipMode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.011,
               "waste": 0.022},
    "projects": [{"name": "heidarkaffi", "quotaPerS": 200.0, "share": 1.0}],
    "report": {"fields": [], "source": "none"},
    "rules": {"askWithinMs": 10000.0, "coldFrom": 0.13, "coldMs": 22000.0, "drainGraceMs": 1000.0,
              "fallMs": 1500.0, "fallMultiple": 2.5, "graceToAnswerMs": 20.0},
    "scoreParts": {"whole": 0.45, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.35},
    "selfIndex": 0,
    "tickMs": 5.0,
    "tier": 0,
    "tiers": ["askrift-web"],
    "weights": "nominal",
    "zone": "hofdi",
}


def make_settings(**classes):
    """A copy of SETTINGS; `classes` may change keys of a class, as charge_ship={"deadlineMs": 3000.0}."""
    settings = copy.deepcopy(SETTINGS)
    for name, changes in classes.items():
        for category in settings["categories"]:
            if category["name"] == name.replace("_", "-"):
                category.update(changes)
    return settings


# ---- HTTP ---------------------------------------------------------------------------------------------------

class Message:
    def __init__(self, first, fields, body=b""):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name):
        return self.fields.get(name.lower(), "")


async def read_head(reader):
    """Returns a Message without its body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, message):
    """Reads a body with Content-Length or chunks. Returns False if the stream ends before it is whole."""
    try:
        if message.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return True
        length = int(message.get("content-length") or 0)
        while len(message.body) < length:
            piece = await reader.read(min(65536, length - len(message.body)))
            if not piece:
                return False
            message.body += piece
        return True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return False


# ---- Discovery ----------------------------------------------------------------------------------------------

class Discovery:
    """Lists and watches as the protocol page has them: one revision for each change."""

    def __init__(self, record, name="discovery"):
        self.record, self.name = record, name
        self.revision = 1
        self.members, self.changed_at = {}, {}
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, host_id, address, phase="up", zone="hofdi", up_since_ms=0):
        self.revision += 1
        self.members[host_id] = {"id": host_id, "host_port": address, "locality": zone, "flavor": "full-4",
                                 "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}
        self.changed_at[host_id] = self.revision
        self.record(f"{self.name}: revision {self.revision}: {host_id} is {phase}")
        self.changed.set()
        self.changed = asyncio.Event()

    def list_text(self, after=None):
        if after is None or after > self.revision:
            members = [m for m in self.members.values() if m["phase"] != "removed"]
            return json.dumps({"revision": self.revision, "complete": True, "members": members})
        members = [m for i, m in self.members.items() if self.changed_at[i] > after]
        return json.dumps({"revision": self.revision, "complete": False, "members": members})

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                target = head.first.split(" ")[1]
                query = dict(p.split("=", 1) for p in target.split("?", 1)[1].split("&")) if "?" in target else {}
                after = int(query["after"]) if "after" in query else None
                if after is not None and after == self.revision and int(query.get("wait_ms", 0)) > 0:
                    try:
                        await asyncio.wait_for(self.changed.wait(), int(query["wait_ms"]) / 1000)
                    except asyncio.TimeoutError:
                        pass
                body = self.list_text(after).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def retire(self):
        """As on a day with SIGHUP: takes no new connection, and closes the open ones after 1.5 s."""
        self.record(f"{self.name}: takes no new connection")
        self.server.close()
        await asyncio.sleep(1.5)
        self.record(f"{self.name}: closes its open connections")
        for writer in list(self.writers):
            writer.close()


# ---- Hosts --------------------------------------------------------------------------------------------------

class Host:
    """A host: answers each whole request after `work_s` with a body made for its id.

    `answer(host, message, writer)`, if given, writes the answer in place of that; it returns whether the
    connection stays open. `runs` lists (ms, id, kind, Req-Deadline) of each request whose last byte came.
    """

    def __init__(self, record, host_id, work_s=0.02, answer=None):
        self.record, self.id, self.work_s, self.answer = record, host_id, work_s, answer
        self.runs = []
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def body_for(self, request_id):
        return f"{self.id} made this for {request_id}\n".encode()

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None or not await read_body(reader, message):
                    break
                request_id = message.get("req-id")
                if not request_id:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                self.runs.append((self.record.now(), request_id, message.get("req-kind"),
                                  message.get("req-deadline")))
                self.record(f"{self.id}: runs {request_id} {message.get('req-kind')}, "
                            f"Req-Deadline {message.get('req-deadline')}")
                if self.answer is not None:
                    if not await self.answer(self, message, writer):
                        break
                    continue
                await asyncio.sleep(self.work_s)
                body = self.body_for(request_id)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---- Clients ------------------------------------------------------------------------------------------------

def request_text(request_id, kind="plan-view", deadline_ms=1500, body=b"", owner="heidarkaffi", more=()):
    method = "GET" if kind == "plan-view" else "POST"
    lines = [f"{method} /api HTTP/1.1", "Host: backend.local", f"Req-Id: {request_id}", f"Req-Kind: {kind}",
             f"Req-Owner: {owner}", f"Req-Deadline: {deadline_ms}m", *more]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body if method == "POST" else b"")


class Answer:
    """What a client got: status 0 means that the connection ended without an answer."""

    def __init__(self, status=0, whole=False, message=None, sent_at=0.0, done_at=0.0):
        self.status, self.whole, self.message = status, whole, message
        self.sent_at, self.done_at = sent_at, done_at

    @property
    def took(self):
        return self.done_at - self.sent_at


async def read_answer(record, reader, sent_at):
    head = await read_head(reader)
    if head is None:
        return Answer(sent_at=sent_at, done_at=record.now())
    status = int(head.first.split(" ")[1])
    whole = await read_body(reader, head)
    return Answer(status, whole, head, sent_at, record.now())


async def ask(record, address, request_id, kind="plan-view", deadline_ms=1500, body=b"", patience_s=None,
              who="client"):
    """One request on a new connection. Waits for its answer until the deadline and `patience_s`."""
    host, port = address.rsplit(":", 1)
    sent_at = record.now()
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        record(f"{who}: {request_id}: no connection: {error}")
        return Answer(sent_at=sent_at, done_at=record.now())
    answer = Answer(sent_at=sent_at, done_at=sent_at)
    try:
        writer.write(request_text(request_id, kind, deadline_ms, body))
        await writer.drain()
        sent_at = record.now()
        record(f"{who}: sent {request_id} {kind}, Req-Deadline {deadline_ms}m")
        limit = deadline_ms / 1000 if patience_s is None else patience_s
        answer = await asyncio.wait_for(read_answer(record, reader, sent_at), limit)
        record(f"{who}: {request_id}: answer {answer.status}, whole {answer.whole}, after {answer.took:.0f} ms")
    except asyncio.TimeoutError:
        record(f"{who}: {request_id}: no answer in {limit} s")
        answer = Answer(sent_at=sent_at, done_at=record.now())
    except ConnectionError as error:
        record(f"{who}: {request_id}: {error}")
    finally:
        writer.close()
    return answer


async def call(address, method, target):
    """An operator's call; returns the status (0: none) and the body."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0, b""
    try:
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: admin\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 2)
        if head is None:
            return 0, b""
        await read_body(reader, head)
        return int(head.first.split(" ")[1]), head.body
    except (OSError, asyncio.TimeoutError):
        return 0, b""
    finally:
        writer.close()


# ---- The platform -------------------------------------------------------------------------------------------

class Gateway:
    """One gateway's place on the platform: its configuration file, its folder and its addresses."""

    def __init__(self, record, name, discovery, settings, folder, known=None, limits=None, arguments="",
                 admin=True, environment=None):
        self.record, self.name = record, name
        self.folder = os.path.join(folder, name)
        os.mkdir(self.folder)
        self.tmp = os.path.join(self.folder, "tmp")
        os.mkdir(self.tmp)
        self.listen = f"127.0.0.1:{free_port()}"
        self.config_path = os.path.join(self.folder, "config.json")
        self.with_admin, self.arguments = admin, arguments
        self.environment = environment or {}
        self.document = {"name": name, "listen": self.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
                         "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                         "known": known or {"revision": 0, "complete": True, "members": []},
                         "settings": settings}
        self.first_discovery = discovery
        self.started = 0
        self.write()

    def write(self, text=None):
        """Replaces the file atomically."""
        new = self.config_path + ".new"
        with open(new, "w", encoding="utf-8") as file:
            file.write(json.dumps(self.document) if text is None else text)
        os.replace(new, self.config_path)

    def start(self):
        """Starts `run` of the deploy file; returns the process. All but NODE_ADMIN is the same each time."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            command = re.search(r'^run *= *"([^"]*)"', file.read(), re.MULTILINE).group(1)
        if self.arguments:
            command = command.replace(" serve", f" {self.arguments} serve")
        self.started += 1
        process = type("Process", (), {})()
        process.admin = f"127.0.0.1:{free_port()}"
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "NODE_NAME": self.name,
                       "NODE_LISTEN": self.listen, "NODE_DISCOVERY": self.first_discovery,
                       "NODE_CONFIG": self.config_path, "TMPDIR": self.tmp, **self.environment}
        if self.with_admin:
            environment["NODE_ADMIN"] = process.admin
        process.log = os.path.join(self.folder, f"log{self.started}.txt")
        with open(process.log, "wb") as log:
            process.popen = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log,
                                             stderr=log, stdin=subprocess.DEVNULL)
        process.label = f"{self.name}/{self.started}"
        _processes.append(process.popen)
        self.record(f"platform: starts {process.label}: {command.replace(os.path.dirname(self.folder), 'FOLDER')}")
        return process

    def signal(self, process, number):
        self.record(f"platform: {signal.Signals(number).name} to {process.label}")
        process.popen.send_signal(number)

    async def wait_up(self, limit_s=15):
        """Waits for 200 from GET /up, as the front does."""
        for _ in range(int(limit_s / 0.05)):
            status, _ = await call(self.listen, "GET", "/up")
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CantRun(f"{self.name} did not come up")

    async def wait_status(self, process, limit_s=6):
        """Waits for the yes of GET /status."""
        for _ in range(int(limit_s / 0.02)):
            status, _ = await call(process.admin, "GET", "/status")
            if status == 200:
                self.record(f"{process.label}: /status says yes")
                return True
            await asyncio.sleep(0.02)
        return False


_processes = []


async def wait_end(process, limit_s):
    """Waits until a process has ended; returns whether it has."""
    for _ in range(int(limit_s / 0.01)):
        if process.popen.poll() is not None:
            return True
        await asyncio.sleep(0.01)
    return False


def end_all():
    for process in _processes:
        if process.poll() is None:
            process.kill()
        process.wait()


def main(case_file, scenario, limit_s=110):
    """Runs `scenario(record, folder)`, a coroutine that returns the list of breaks, and exits with 0, 1 or 2."""
    record = Record(os.path.dirname(os.path.abspath(case_file)))
    folder = tempfile.mkdtemp(prefix="review-")
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    code = 2
    try:
        if not os.path.exists(os.path.join(ROOT, "build", "meadowyard")):
            raise CantRun("build/meadowyard is missing: run the build of the deploy file first")

        async def limited():
            return await asyncio.wait_for(scenario(record, folder), limit_s)
        breaks = asyncio.run(limited())
        for text in breaks:
            record(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        if not breaks:
            record("the rule held")
            print("the rule held")
        code = 1 if breaks else 0
    except (CantRun, asyncio.TimeoutError, OSError, json.JSONDecodeError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        end_all()
        for name in sorted(os.listdir(folder)):
            if not os.path.isdir(os.path.join(folder, name)):
                continue
            for log in sorted(os.listdir(os.path.join(folder, name))):
                if log.startswith("log"):
                    with open(os.path.join(folder, name, log), encoding="utf-8", errors="replace") as file:
                        for line in file:
                            record.file.write(f"{name}/{log}: {line.replace(folder, 'FOLDER')}")
        record.file.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)

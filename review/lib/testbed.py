"""What the cases of this review have in common: a record, free ports, the stand-in of discovery, the hosts' processes,
the gateways' processes and a client. Standard library alone; all addresses are loopback addresses."""
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
LIB = os.path.join(ROOT, "review", "lib")
LOOPBACK = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


def free_ports(count):
    """Ports of 127.0.0.1 that are free for TCP and UDP now, below the range that the kernel gives out by itself."""
    ports, number = [], 10000 + os.getpid() * 37 % 9000
    for _ in range(9000):
        number = number + 1 if number < 18999 else 10000
        try:
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind((LOOPBACK, number))
                udp.bind((LOOPBACK, number))
        except OSError:
            continue
        ports.append(number)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*?)"', file.read(), re.MULTILINE).group(1)


class Discovery:
    """Stand-in for discovery: GET /discovery/hosts, with ?after=N&wait_ms=M as a watch."""

    def __init__(self, bed):
        self.bed = bed
        self.members, self.changed_at, self.revision = {}, {}, 1
        self.condition = threading.Condition()
        self.listener = socket.socket()
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, name, address, zone="a", phase="up", started=0):
        return {"id": name, "host_port": address, "locality": zone, "flavor": "full-4", "cell": 1, "phase": phase,
                "size": 1.0, "up_since_ms": started}

    def put(self, *entries):
        """One new revision with these entries."""
        with self.condition:
            self.revision += 1
            for entry in entries:
                self.members[entry["id"]] = entry
                self.changed_at[entry["id"]] = self.revision
            self.condition.notify_all()

    def snapshot(self):
        with self.condition:
            return {"revision": self.revision, "complete": True,
                    "members": [m for m in self.members.values() if m["phase"] != "removed"]}

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while True:
                line = stream.readline()
                if not line:
                    return
                target = line.split()[1].decode()
                while stream.readline() not in (b"\r\n", b""):
                    pass
                match = re.search(r"after=(-?\d+)&wait_ms=(\d+)", target)
                if match:
                    after, until = int(match.group(1)), time.monotonic() + int(match.group(2)) / 1000
                    with self.condition:
                        while self.revision == after and time.monotonic() < until:
                            self.condition.wait(until - time.monotonic())
                        if after > self.revision:
                            answer = None
                        else:
                            answer = {"revision": self.revision, "complete": False,
                                      "members": [m for m in self.members.values()
                                                  if self.changed_at[m["id"]] > after]}
                    answer = answer or self.snapshot()
                else:
                    answer = self.snapshot()
                body = json.dumps(answer).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                   % len(body) + body)
        except (OSError, IndexError):
            pass
        finally:
            connection.close()


class Bed:
    """One play of a case. Use it as a context manager: at the end all processes that it started are ended."""

    def __init__(self, record):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(record, "w", buffering=1)
        self.lock = threading.Lock()
        self.began = time.time()
        self.processes = []
        self.tmp = None

    def __enter__(self):
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.say("begins; trouble: %s" % self.trouble)
        return self

    def __exit__(self, *_):
        for process in self.processes:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    process.send_signal(number)
                except OSError:
                    pass
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.say("all processes have ended")

    def say(self, text):
        with self.lock:
            self.record.write("%8.3f  %s\n" % (time.time() - self.began, text))

    def at(self, unix_time):
        return "%.3f" % (unix_time - self.began)

    def spawn(self, command, environment=None, log=None, **more):
        output = open(log, "ab") if log else subprocess.DEVNULL
        own = {name: value for name, value in os.environ.items() if not name.startswith(("NODE_", "MEADOWYARD_"))}
        process = subprocess.Popen(command, env={**own, **(environment or {})}, cwd=ROOT, stdin=subprocess.DEVNULL,
                                   stderr=output, **({"stdout": output} | more))
        self.processes.append(process)
        return process

    def host(self, name, address, work_ms=20, answer_bytes=0):
        record = os.path.join(self.tmp, "host-%s.txt" % name.split(",")[0])
        process = self.spawn([sys.executable, os.path.join(LIB, "host.py"), name, address, record, "--work-ms", str(work_ms),
                              "--answer-bytes", str(answer_bytes)],
                             stdout=subprocess.PIPE)
        if process.stdout.readline() != b"ready\n":
            raise CannotRun("host %s does not start" % name.split(",")[0])
        return process

    def ran(self):
        """What the hosts have run so far, oldest first."""
        lines = []
        for name in os.listdir(self.tmp):
            if name.startswith("host-"):
                with open(os.path.join(self.tmp, name)) as file:
                    lines += [json.loads(line) for line in file if line.endswith("\n")]
        return sorted(lines, key=lambda line: line["t"])

    def gateway(self, name, config, environment=None, folder=None):
        """Starts one gateway by the deploy file's command. `config`: its file's contents."""
        folder = folder or os.path.join(self.tmp, name)
        os.makedirs(folder, exist_ok=True)
        path = os.path.join(folder, "config.json")
        if config is not None:
            write_file(path, json.dumps(config, indent=1))
        variables = {"NODE_NAME": name, "NODE_CONFIG": path, "TMPDIR": folder, **(environment or {})}
        if config is not None:
            variables = {"NODE_LISTEN": config["listen"], "NODE_DISCOVERY": config["discovery"], **variables}
        process = self.spawn(["/bin/sh", "-c", run_command()], variables, log=os.path.join(folder, "log.txt"))
        process.folder = folder
        return process

    def write_runs(self):
        for line in self.ran():
            self.say("run by %s at %s: %s, %s, %d bytes" % (line["host"], self.at(line["t"]), line["id"], line["kind"], line["body"]))

    def logs(self):
        for folder in sorted(os.listdir(self.tmp)):
            path = os.path.join(self.tmp, folder, "log.txt")
            if os.path.exists(path):
                with open(path, errors="replace") as file:
                    for line in file:
                        self.say("log of %s: %s" % (folder, line.rstrip()))


def write_file(path, text):
    with open(path + ".new", "w") as file:
        file.write(text)
    os.rename(path + ".new", path)


def settings(categories, zone="a", gateways=1, **limits):
    """The settings of a small deployment, with the keys of the wire page."""
    return {"azs": ["a", "b"], "categories": categories, "clientHabits": {"marksRetry": True}, "countedBy": "work",
            "family": "proxy", "familyInfo": {"warmKeys": False},
            "limits": {"cancelling": True, "connIdleMs": 60000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
                       "dialTimeoutMs": 250.0, "maxAttempts": 4, "maxOpen": 20000, "maxRetryAfterMs": 2000.0,
                       "mayProbe": True, "mayTell": False, "multiplex": 1, "parallelTries": True, "retryAfter": True,
                       **limits},
            "machineTypes": ["full-4"], "membershipMode": "ask", "overShareWorth": 0.1, "peersTotal": gateways,
            "projects": [{"name": "nord", "quotaPerS": 500.0, "share": 1.0}],
            "report": {"fields": [], "source": "none"},
            "rules": {"askWithinMs": 10000.0, "coldFrom": 0.13, "coldMs": 22000.0, "drainGraceMs": 1000.0,
                      "fallMs": 1500.0, "fallMultiple": 2.5, "graceToAnswerMs": 20.0},
            "selfIndex": 0, "tickMs": 5.0, "tier": 0, "tiers": ["askrift-web"], "weights": "nominal", "zone": zone}


def category(name, idempotency, slo_ms, deadline_ms, importance=2.0):
    return {"deadlineMs": deadline_ms, "group": "all", "idempotency": idempotency, "importance": importance,
            "lateWorth": 0.0, "name": name, "repeatWindowMs": 5000.0, "sloMs": slo_ms, "streamed": False}


def call(address, method, path, timeout=2.0):
    """One call at an operators' or clients' address: (status, body)."""
    ip, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(method, path, headers={"Connection": "close"})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise CannotRun("not in %.0f s: %s" % (seconds, what))


def request_head(identity, kind, deadline_ms, method="GET", length=None):
    text = ("%s /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: nord\r\n"
            "Req-Deadline: %dm\r\n" % (method, identity, kind, deadline_ms))
    return (text + ("Content-Length: %d\r\n" % length if length is not None else "") + "\r\n").encode()


def read_answer(stream):
    """The next answer as (status, body); None if the connection ends before it is whole."""
    line = stream.readline()
    if not line.endswith(b"\r\n"):
        return None
    status, length = int(line.split()[1]), 0
    while True:
        line = stream.readline()
        if not line.endswith(b"\r\n"):
            return None
        if line == b"\r\n":
            break
        name, value = line.split(b":", 1)
        if name.lower() == b"content-length":
            length = int(value)
    body = stream.read(length)
    return (status, body) if len(body) == length else None


def main(record, play):
    """Plays a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. `record`: the file
    that tells what was sent, answered and run."""
    with Bed(record) as bed:
        try:
            broken = play(bed)
        except CannotRun as error:
            bed.say("the case could not run: %s" % error)
            bed.logs()
            status = 2
        except Exception as error:  # a fault of the case itself
            import traceback
            bed.say("the case could not run: %r\n%s" % (error, traceback.format_exc()))
            status = 2
        else:
            bed.write_runs()
            bed.logs()
            status = 1 if broken else 0
            bed.say("the rule was broken" if broken else "the rule held")
    sys.stderr.write(open(record).read().splitlines()[-2] + "\n")
    sys.exit(status)

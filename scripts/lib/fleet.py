"""Starts, observes and stops release builds of the daemons and stand-ins on loopback.

A `Fleet` stops only processes that it started, by process id.
"""

import asyncio
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BIN = Path(os.environ.get("CARGO_TARGET_DIR", ROOT / "target")) / "release"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
KEY = "kw-measure"
KEY_HASH = hashlib.sha256(KEY.encode()).hexdigest()
# Maximum size of a rules part, in bytes; the configuration service limits values to 1 MB.
PART_BYTES = 900_000


def load_average():
    return "load " + " ".join(f"{value:.1f}" for value in os.getloadavg())


def request(method, address, path, body=None, timeout=10):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    connection.request(method, path, body)
    response = connection.getresponse()
    text = response.read().decode()
    connection.close()
    return response.status, text


def free_ports(count):
    """Picks free ports below the ephemeral range, which outgoing connections cannot occupy."""
    ports, port = [], 12000 + os.getpid() * 7 % 12000
    while len(ports) < count:
        port += 1
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                ports.append(port)
    return ports


@dataclass
class Process:
    name: str
    child: subprocess.Popen
    operators: str = ""
    control: str = ""
    data: str = ""
    role: str = "standin"

    def cpu(self):
        """Returns the processor time, in seconds."""
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss(self):
        """Returns the resident memory, in bytes."""
        return int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1]) * PAGE_BYTES

    def metrics(self):
        """Returns the metrics, summed over labels by name."""
        sums = {}
        for line in request("GET", self.operators, "/metrics")[1].splitlines():
            if line.startswith("knapweed"):
                name, value = line.rsplit(" ", 1)
                name = name.split("{")[0].removesuffix("_total")
                sums[name] = sums.get(name, 0.0) + float(value)
        return sums


class Fleet:
    """A fleet of configuration services, targets, agents and routers."""

    def __init__(self, routers=1, agents=1, engine=(), window=16, service=True, teams=0, split=1):
        self.dir = Path(tempfile.mkdtemp(prefix="knapweed-measure-"))
        self.processes = []
        self.targets = []
        self.teams = teams
        self.window = window
        self.lines = []
        try:
            self.configs = [self.standin(f"config-{n}", "knapweed-standin-config") for n in range(split)]
            self.start_targets(agents, engine, service)
            self.start_daemons(routers)
            self.publish(1)
            self.wait_ready()
        except BaseException:
            self.stop()
            raise

    def start(self, name, *command):
        out = open(self.dir / f"{name}.out", "wb")
        log = open(self.dir / f"{name}.log", "wb")
        child = subprocess.Popen([str(part) for part in command], stdout=out, stderr=log)
        process = Process(name, child)
        self.processes.append(process)
        return process

    def standin(self, name, program, *flags):
        process = self.start(name, BIN / program, *flags)
        for _ in range(200):
            words = (self.dir / f"{name}.out").read_text().split()
            if len(words) >= 2 and words[0] == "listening":
                process.data = words[1]
                return process
            time.sleep(0.05)
        raise RuntimeError(f"{name} did not start listening")

    def start_targets(self, agents, engine, service):
        names = [(f"llm-{n}", "llm") for n in range(agents)] + ([("desk-0", "desk")] if service else [])
        for name, pool in names:
            program = "knapweed-standin-engine" if pool == "llm" else "knapweed-standin-service"
            flags = engine if pool == "llm" else ("--name", name, "--limit", 256, "--service-millis", 0)
            self.targets.append((name, pool, self.standin(f"standin-{name}", program, *flags)))

    def start_daemons(self, routers):
        ports = free_ports(3 * (len(self.targets) + routers))
        plan = [(name, "agent", pool, engine) for name, pool, engine in self.targets]
        plan += [(f"router-{n}", "router", None, None) for n in range(routers)]
        vms = []
        for index, (name, role, pool, engine) in enumerate(plan):
            data, control, operators = (f"127.0.0.1:{ports.pop()}" for _ in range(3))
            centre = f"dc{index % 2 + 1}"
            service = self.configs[index % len(self.configs)].data
            settings = [f"name: {name}", f"data_centre: {centre}", f"listen: {data}", f"control: {control}",
                        f"operators: {operators}", "service:", f"  - http://{service}"]
            if role == "agent":
                settings.append(f"target: http://{engine.data}")
                self.lines.append(f"target {name} pool {pool} data-centre {centre} data {data} control {control}")
            (self.dir / f"{name}.yaml").write_text("\n".join(settings) + "\n")
            vms.append({"name": name, "role": role, "data_centre": centre, "control": control, "state": "live"})
            plan[index] = (name, role, data, control, operators)
        for config in self.configs:
            request("PUT", config.data, "/test/values/vms", json.dumps(vms))
        for name, role, data, control, operators in plan:
            process = self.start(name, BIN / f"knapweed-{role}", "--settings", self.dir / f"{name}.yaml")
            process.role, process.data, process.control, process.operators = role, data, control, operators

    def document(self, revision):
        """Returns the rules root document and its parts by key."""
        kinds = {pool for _, pool, _ in self.targets}
        lines = [f"revision {revision}", "data-centre dc1", "data-centre dc2"]
        lines.append(f"pool llm kind model cold {self.window} max {self.window}")
        if "desk" in kinds:
            lines.append("pool desk kind service cold 200 max 256")
            lines.append("route stock GET /v1/stock/* pool desk idempotent cost 1")
        lines += self.lines
        lines.append("route chat POST /v1/chat/completions pool llm idempotent cost 40 timeout 10m")
        lines += ["team measure queue 20000 in-flight 20000", f"key measure sha256:{KEY_HASH}"]
        teams = []
        for team in range(self.teams):
            digest = hashlib.sha256(f"kw-{team}".encode()).hexdigest()
            teams.append(f"team team-{team:05} weight 1\nkey team-{team:05} sha256:{digest}")
        with_asker = lambda text: "".join(f"{line}  # asked by: measurement\n" for line in text.split("\n"))
        parts, text = {}, ""
        for team in teams:
            text += with_asker(team)
            if len(text) > PART_BYTES or team is teams[-1]:
                parts[f"teams-{revision}-{len(parts)}"] = text
                text = ""
        root = with_asker("\n".join(lines))
        for key, part in parts.items():
            root += with_asker(f"part {key} sha256:{hashlib.sha256(part.encode()).hexdigest()}")
        return root + with_asker("end"), parts

    def publish(self, revision, configs=None):
        root, parts = self.document(revision)
        for config in configs or self.configs:
            for key, text in parts.items():
                request("PUT", config.data, f"/test/values/{key}", text)
        for config in configs or self.configs:
            request("PUT", config.data, "/test/values/rules", root)

    def daemons(self, role=None):
        return [one for one in self.processes if one.operators and role in (None, one.role)]

    def wait_ready(self, seconds=90):
        end = time.monotonic() + seconds
        for daemon in self.daemons():
            while True:
                try:
                    if request("GET", daemon.operators, "/ready")[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise RuntimeError(f"{daemon.name} is not ready")
                time.sleep(0.1)

    def adoption_times(self, revision, seconds=30):
        """Returns the sorted seconds until daemons log that the revision is in force, and how many did not."""
        start, waiting, times = time.monotonic(), {one.name for one in self.daemons()}, []
        mark = f"KW1203 config-adopted revision={revision} ".encode()
        sizes = {}
        while waiting and time.monotonic() - start < seconds:
            for name in sorted(waiting):
                path = self.dir / f"{name}.log"
                if path.stat().st_size != sizes.get(name):
                    sizes[name] = path.stat().st_size
                    if mark in path.read_bytes():
                        times.append(time.monotonic() - start)
                        waiting.discard(name)
            time.sleep(0.005)
        return sorted(times), len(waiting)

    def stop(self):
        for process in reversed(self.processes):
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            try:
                process.child.wait(20)
            except subprocess.TimeoutExpired:
                process.child.kill()
                process.child.wait()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


def encode_call(method, path, body=b""):
    head = f"{method} {path} HTTP/1.1\r\nhost: k\r\nauthorization: Bearer {KEY}\r\n"
    return f"{head}content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body


def chat(number, tokens):
    body = {"model": "demo", "stream": True, "max_tokens": tokens,
            "messages": [{"role": "user", "content": f"Item {number}"}]}
    return encode_call("POST", "/v1/chat/completions", json.dumps(body).encode())


async def read_answer(reader):
    """Reads one response; returns its status and the number of data chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = int(head.split()[1])
    if "transfer-encoding: chunked" not in head:
        length = int(head.split("content-length:")[1].split()[0])
        await reader.readexactly(length)
        return status, 0
    chunks = 0
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return status, chunks
        chunks += data.count(b"data: ")


async def closed_loop(address, calls, clients):
    """Sends calls over `clients` connections; returns the numbers of failures and data chunks."""
    pending, failed, chunks = list(reversed(calls)), 0, 0

    async def client():
        nonlocal failed, chunks
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while pending:
            writer.write(pending.pop())
            status, data = await read_answer(reader)
            failed += status != 200
            chunks += data
        writer.close()

    await asyncio.gather(*(client() for _ in range(clients)))
    return failed, chunks


async def open_streams(address, calls):
    """Opens one connection per call and sends the call; returns the writers."""
    host, port = address.split(":")
    writers = []
    for call in calls:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(call)
        writers.append(writer)
    return writers

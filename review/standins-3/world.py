"""A small site on loopback for the cases of this review: the platform's store, executors, callers.

The stand-ins do what PROTOCOL.md says; where it is silent they behave soundly. Faults are put in by
each case through hooks. The programs under test are started with the commands and the settings
templates of deploy/system.toml. Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


def now():
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{now():8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()


def free_ports(ip, count=1):
    """The first of `count` successive ports that are free on `ip`."""
    for _ in range(200):
        probe = socket.socket()
        probe.bind((ip, 0))
        first = probe.getsockname()[1]
        probe.close()
        if first + count > 65000:
            continue
        try:
            for port in range(first, first + count):
                with socket.socket() as other:
                    other.bind((ip, port))
            return first
        except OSError:
            continue
    raise CannotRun(f"no free ports on {ip}")


# --- HTTP -------------------------------------------------------------------------------------


NO_ANSWER = object()  # the channel stays open and silent
RESET = object()  # the channel is closed without an answer


class HttpServer:
    """HTTP/1.1 with keep-alive; `handle(method, path, query, headers, body)` returns
    (status, dict), NO_ANSWER or RESET."""

    def __init__(self, ip, handle, port=None):
        self.ip, self.handle, self.port = ip, handle, port
        self.writers = set()
        self.server = None

    async def start(self):
        port = self.port or free_ports(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.port = port
        return self

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def close_channels(self):
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
                body = b""
                if int(headers.get("content-length", 0)):
                    body = await reader.readexactly(int(headers["content-length"]))
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                answer = await self.handle(method, unquote(parts.path), query, headers, body)
                if answer is NO_ANSWER:
                    await asyncio.sleep(600)
                    return
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def http(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a channel of its own; returns (status, body), or (None, why)."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            all_headers = {"Host": address, "Content-Type": "application/json",
                           "Content-Length": str(len(data)), "Connection": "close"}
            all_headers.update(headers or {})
            lines += [f"{name}: {value}" for name, value in all_headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            found = re.search(r"content-length: (\d+)", head, re.I)
            data = await (reader.readexactly(int(found[1])) if found else reader.read())
            return status, data.decode()
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__


# --- the platform's store ---------------------------------------------------------------------


class Store:
    """The platform's metadata store in memory, served at one address for each machine."""

    def __init__(self, record, answer_s=0.004):
        self.record, self.answer_s = record, answer_s
        self.items, self.leases = {}, {}
        self.rev, self.next_lease = 1, 7
        self.servers = []

    async def open(self, ip, hook=None):
        """Serves the store at an address; `hook(method, path, body)` may return "refuse" (503),
        "silent" (nothing is done or answered), "lost" (done, unanswered), ("late", s) (done after
        s seconds, unanswered), ("slow", s), or None."""

        async def handle(method, path, query, _headers, body):
            how = hook(method, path, body) if hook else None
            if asyncio.iscoroutine(how):
                how = await how
            if how == "refuse":
                return 503, {}
            if how == "silent":
                return NO_ANSWER
            if how == "lost":
                self.call(method, path, query, body)
                return NO_ANSWER
            if isinstance(how, tuple) and how[0] == "late":
                asyncio.get_running_loop().call_later(
                    how[1], self.call, method, path, query, body)
                return NO_ANSWER
            await asyncio.sleep(how[1] if isinstance(how, tuple) else self.answer_s)
            return self.call(method, path, query, body)

        server = await HttpServer(ip, handle).start()
        self.servers.append(server)
        return server.address

    def expire(self):
        ended = [id for id, (_, until) in self.leases.items() if now() > until]
        for id in ended:
            self.end_lease(id)

    def end_lease(self, id):
        if self.leases.pop(id, None) is None:
            return
        gone = [key for key, item in self.items.items() if item["lease"] == id]
        if gone:
            self.rev += 1
        for key in gone:
            del self.items[key]

    def put(self, key, value):
        """Writes a key as the operator does."""
        self.rev += 1
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.rev
        self.items[key] = {"key": key, "value": value, "rev": self.rev, "created": created,
                           "lease": lease}

    def read(self, key):
        self.expire()
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def call(self, method, path, query, body):
        self.expire()
        data = json.loads(body) if body else {}
        name = path.removeprefix("/rattanwinch/")
        if name == "kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {"current_rev": self.rev}) if item is None else (
                200, {**item, "current_rev": self.rev})
        if name == "kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "current_rev": self.rev}
        if name == "kv-txn":
            rows = data.get("expected_rev", [])
            rows = [(row["key"], row["rev"]) if isinstance(row, dict) else tuple(row)
                    for row in rows]
            present = lambda key: self.items[key]["rev"] if key in self.items else 0
            if any(present(key) != rev for key, rev in rows):
                return 412, {"items": [self.items[key] for key, _ in rows if key in self.items],
                             "current_rev": self.rev}
            puts = data.get("puts", [])
            if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
                return 404, {}
            self.rev += 1
            for put in puts:
                self.write(put["key"], put["value"], put.get("lease", 0))
            for key in data.get("deletes", []):
                self.items.pop(key, None)
            return 200, {"rev": self.rev}
        if name == "kv-lease":
            id, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[id] = (data["ttl_ms"] / 1000, now() + data["ttl_ms"] / 1000)
            return 200, {"lease": id, "ttl_ms": data["ttl_ms"]}
        id = int(name.rsplit("/", 1)[-1])
        if name.startswith("kv-keep/"):
            if id not in self.leases:
                return 404, {}
            ttl, _ = self.leases[id]
            self.leases[id] = (ttl, now() + ttl)
            return 200, {"lease": id, "ttl_ms": int(ttl * 1000)}
        if name.startswith("kv-lease-end/"):
            self.end_lease(id)
            return 200, {}
        return 404, {}


# --- executors --------------------------------------------------------------------------------


class Executor:
    """One executor: takes starts, stops and holds from the agent on its machine, and runs tasks
    for `work_s(task)` seconds of its own steady clock."""

    def __init__(self, record, id, ip, agent, service, work_s, capacity, labels=("a", "r1"),
                 heartbeat_s=1.5, hold_max_ms=6000, stop_s=0.1):
        self.record, self.id, self.ip, self.agent = record, id, ip, agent
        self.service, self.work_s, self.capacity = service, work_s, capacity
        self.labels, self.heartbeat_s = labels, heartbeat_s
        self.hold_max_ms, self.stop_s = hold_max_ms, stop_s
        self.started, self.born = now(), int(time.time() * 1000)
        self.seq, self.fence, self.until_ms, self.next_end = 0, 0, 0, 1
        self.running, self.finished, self.ended = {}, {}, []
        self.history = []  # [task, run, started, ended, how]
        self.state, self.hook = "ready", None
        self.last_beat, self.away = 0.0, False
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await HttpServer(self.ip, self.handle).start()
        asyncio.create_task(self.beat())
        asyncio.create_task(self.work())
        return self

    async def replace(self, seconds):
        """Its machine is away for a while; a new executor joins after that."""
        self.away = True
        self.server.close_channels()
        for task in list(self.running):
            self.end(task, "lapsed")
        await asyncio.sleep(seconds)
        self.id += "n"
        self.started, self.born = now(), int(time.time() * 1000)
        self.seq, self.fence, self.until_ms, self.next_end = 0, 0, 0, 1
        self.finished, self.ended = {}, []
        self.away = False

    def clock_ms(self):
        return int((now() - self.started) * 1000)

    async def beat(self):
        while True:
            if self.away:
                await asyncio.sleep(0.05)
                continue
            self.seq += 1
            self.last_beat = now()
            body = {"service": self.service, "addr": self.server.address, "zone": "az-1",
                    "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                    "capacity": self.capacity, "labels": list(self.labels),
                    "clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born}
            await http(self.agent, "POST", f"/rattanwinch/Instances.Heartbeat/{self.id}", body,
                       timeout=1.0)
            await asyncio.sleep(self.heartbeat_s)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            self.advance()

    def advance(self):
        lapsed = self.clock_ms() > self.until_ms
        for task, run in list(self.running.items()):
            if lapsed:
                self.end(task, "lapsed")
            elif run["stop_at"] is not None and now() >= run["stop_at"]:
                self.end(task, "stopped")
            elif now() - run["at"] >= run["work"]:
                self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.finished[task] = max(run["run"], self.finished.get(task, 0))
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        run["row"][3:] = [now(), how]
        self.record(f"{self.id}: run {run['run']} of {task} ends {how}")
        self.changed.set()

    async def handle(self, method, path, _query, _headers, body):
        if self.away:
            return NO_ANSWER
        how = self.hook(path, body) if self.hook else None
        if isinstance(how, tuple) and how[0] == "late":
            # Unanswered, and carried out later.
            asyncio.get_running_loop().call_later(
                how[1], lambda: self.call(path, json.loads(body), waited=True))
            return NO_ANSWER
        answer = await self.answer(path, json.loads(body))
        return NO_ANSWER if how == "lost" else answer

    async def answer(self, path, data):
        if path.endswith("/hold") and data.get("wait_ms"):
            refused = self.apply_hold(data)
            if refused:
                return refused
            end = now() + data["wait_ms"] / 1000
            while now() < end and not self.ended:
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
            return 200, self.lists()
        return self.call(path, data)

    def call(self, path, data, waited=False):
        self.advance()
        if path.endswith("/run-start"):
            return self.run_start(data)
        if path.endswith("/run-stop"):
            return self.run_stop(data)
        if path.endswith("/hold"):
            return self.apply_hold(data) or (200, self.lists())
        return 404, {}

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def accepts(self, data):
        self.fence = max(self.fence, data.get("fence", 0))
        return data.get("fence", 0) >= self.fence

    def extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + self.hold_max_ms)
        self.until_ms = max(self.until_ms, until_ms)

    def apply_hold(self, data):
        if not self.accepts(data):
            return self.refuse("fence")
        self.ended = [row for row in self.ended if row[0] > data.get("acked_upto", 0)]
        if "until_ms" in data:
            self.extend(data["until_ms"])
        return None

    def lists(self):
        self.advance()
        rows = []
        for task, run in self.running.items():
            percent = int(100 * min(1.0, (now() - run["at"]) / run["work"]))
            rows.append([task, run["run"], "", percent, 0])
        return {"clock_ms": self.clock_ms(), "born": self.born, "running": rows,
                "ended": self.ended[:500]}

    def run_start(self, data):
        task, number = data["task"], data["run"]
        if not self.accepts(data):
            return self.refuse("fence")
        if data["until_ms"] < self.clock_ms():
            return self.refuse("late")
        self.extend(data["until_ms"])
        present = self.running.get(task)
        if present and present["run"] == number:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.finished.get(task, 0) or present:
            return self.refuse("old")
        row = [task, number, now(), None, None]
        self.history.append(row)
        self.running[task] = {"run": number, "at": now(), "work": self.work_s(task),
                              "stop_at": None, "row": row}
        self.record(f"{self.id}: run {number} of {task} starts")
        return 200, {"clock_ms": self.clock_ms()}

    def run_stop(self, data):
        task, number = data["task"], data["run"]
        if not self.accepts(data):
            return self.refuse("fence")
        present = self.running.get(task)
        if present and present["run"] <= number and present["stop_at"] is None:
            present["stop_at"] = now() + self.stop_s
        self.finished[task] = max(number, self.finished.get(task, 0)) if not present \
            else self.finished.get(task, 0)
        return 200, {"clock_ms": self.clock_ms()}


# --- the programs under test ------------------------------------------------------------------


def fill_in(template, fields):
    def value(match):
        found = fields
        for part in match[1].split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = (found or {}).get(part)
        if found is None:
            return ""
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Program:
    """A program of the deploy file on its machine."""

    def __init__(self, site, role, name, ip, fields):
        self.site, self.name, self.ip = site, name, ip
        self.role = site.deploy["roles"][role]
        port = free_ports(ip, 2)
        self.peer = f"{ip}:{port}"
        self.fields = {"node": name, "ip": ip, "port_range": [str(port), str(port + 1)],
                       "seeds": [], "limits": {"cpu_share": 0.25}, "bounds": site.bounds,
                       "cloud": {}, **fields}
        self.process = None

    def write_settings(self):
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = fill_in(file.read(), self.fields)
        self.settings = os.path.join(self.site.folder, self.name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        command = self.role["run"].split(" ")
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{self.role['run']} is not built")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["RATTANWINCH_SETTINGS"] = self.settings
        self.log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.site.record(f"{self.name} started")

    def signal(self, number):
        self.site.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout=8.0):
        await asyncio.wait_for(self.process.wait(), timeout)
        self.site.record(f"{self.name} has ended")

    def log_text(self):
        with open(os.path.join(self.site.folder, self.name + ".log"), encoding="utf-8") as file:
            return file.read()


BOUNDS = {"hold_max_ms": 6000, "status_s": 120, "reclaim_ms": 2700, "stop_ms": 200, "grace_s": 6}
KEY = "key-of-tenant-1"
HOST, PREFIX = "jobs.example", "/jobs/"


class Site:
    def __init__(self, folder, bounds=None):
        self.case = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="rattanwinch-review-")
        self.bounds = {**BOUNDS, **(bounds or {})}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.store = Store(self.record)
        self.fronts, self.sides, self.executors = [], [], []

    def configure(self, version=2, **route):
        self.store.put("op/config", {
            "version": version,
            "routes": [{"name": "jobs", "host": HOST, "prefix": PREFIX, "service": "workers",
                        "priority": 1, "max_attempts": 3, "stretch": 3.0,
                        "target_latency_ms": 1000, **route}],
            "services": [{"name": "workers", "enforces_capacity": False}],
            "tenants": [{"name": "tenant-1", "api_keys": [KEY], "guaranteed": {"gpu": 0}}],
            "limits": {}})

    async def add_front(self, number, hook=None, store=None):
        ip = f"127.0.0.{10 + number}"
        listen = {"front": f"{ip}:{free_ports(ip)}"}
        listen["ready"] = f"{ip}:{free_ports(ip)}"
        front = Program(self, "front", f"front-{number}", ip, {
            "listen": listen,
            "platform": {"addr": store or await self.store.open("127.0.0.1", hook)}})
        self.fronts.append(front)
        return front

    async def add_side(self, number, **executor):
        ip = f"127.0.0.{20 + number}"
        control = f"{ip}:{free_ports(ip)}"
        side = Program(self, "side", f"side-{number}", ip, {
            "listen": {"control": control},
            "platform": {"addr": await self.store.open("127.0.0.1")}})
        self.sides.append(side)
        self.executors.append(Executor(self.record, f"i-{number}", ip, control, "workers",
                                       **executor))
        return side

    async def start(self):
        seeds = [front.peer for front in self.fronts]
        for program in self.fronts + self.sides:
            program.fields["seeds"] = seeds[:3]
            await program.start()
        for executor in self.executors:
            await executor.start()

    async def call(self, front, method, id="", body=None, timeout=3.0, quiet=False):
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}",
                   "Deadline-Ms": str(int(timeout * 1000))}
        answer = await http(front.fields["listen"]["front"], method, PREFIX + id, body, headers,
                            timeout)
        if not quiet:
            self.record(f"caller: {method} {id} at {front.name} -> {answer[0]} {answer[1][:80]}")
        return answer

    async def submit(self, front, id, job, tries=20):
        """Hands a job in, again with the same id while the answer says so."""
        for _ in range(tries):
            status, _ = await self.call(front, "POST", id, job)
            if status and status // 100 == 2:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {id} was not accepted")

    def history(self, task=None):
        rows = [row + [executor.id] for executor in self.executors for row in executor.history
                if task is None or row[0] == task]
        return sorted(rows, key=lambda row: row[2])

    def leader(self):
        record = self.store.read("rattanwinch/leader")
        if record is None:
            return None
        found = [front for front in self.fronts if front.name == record["vm"]]
        return found[0] if found else None

    async def wait_for(self, what, check, timeout):
        end = now() + timeout
        while now() < end:
            if check():
                return True
            await asyncio.sleep(0.02)
        if what:
            raise CannotRun(f"{what} did not come about")
        return False

    async def close(self):
        for program in self.fronts + self.sides:
            if program.process and program.process.returncode is None:
                try:
                    program.process.send_signal(signal.SIGCONT)
                    program.process.kill()
                except ProcessLookupError:
                    pass
                await program.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, play, seconds=110, **site):
    """Plays a case; `play(site, trouble)` returns a list of breaches."""
    folder = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = Site(folder, **site)
        world.record(f"TROUBLE={int(trouble)}")
        try:
            breaches = await asyncio.wait_for(play(world, trouble), seconds)
        except Exception as error:  # Whatever it is, the rule was not seen broken.
            world.record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            await world.close()
        for breach in breaches:
            world.record("BROKEN: " + breach)
            print("BROKEN: " + breach)
        if not breaches:
            world.record("the rule held")
            print("the rule held")
        return 1 if breaches else 0

    sys.exit(asyncio.run(main()))

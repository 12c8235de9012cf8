"""Stand-ins for a small deployment: the platform, servers, the operator and clients, as PROTOCOL.md and DEPLOY.md
describe them. The programs under test are the project's own, started with the commands of deploy/system.toml.

Only loopback addresses are used. Every process that is started is ended by its id.
"""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the site file tazne-gw.
BOUNDS = {
    "drain_s": 2, "grace_s": 6, "contact_s": 3, "ack_s": 4, "config_apply_s": 2, "recovery_s": 15,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 64,
}
START = time.monotonic()


class Unable(Exception):
    """The case could not run."""


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, with the time in seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def free_port(chosen=set()):
    for _ in range(1000):
        port = random.randrange(12000, 32000)
        if port in chosen:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("0.0.0.0", port))
        except OSError:
            continue
        chosen.add(port)
        return port
    raise Unable("no free port")


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One request on a new connection. Returns status, headers and body, or None without a whole response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Node:
    """One process of the project on one machine of the platform."""

    def __init__(self, deployment, role, name, ip, zone):
        self.deployment, self.role, self.name, self.ip, self.zone = deployment, role, name, ip, zone
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(self.folder)
        self.settings = os.path.join(self.folder, "settings.toml")
        self.process = None
        self.is_expected = False  # whether the process should run
        self.own_ends = 0

    def address(self, listener):
        return f"{self.ip}:{self.deployment.ports[listener]}"

    def write_settings(self, first_start):
        """Fills in the template as the platform does."""
        role = self.deployment.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = file.read()
        ports = self.deployment.ports
        values = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip,
            "listen.front": self.address("front"), "listen.ready": self.address("ready"),
            "listen.control": self.address("control"),
            "cluster_ports.0": ports["cluster"], "cluster_ports.1": ports["relay"],
            "seeds": ",".join(self.deployment.seeds), "first_start": str(first_start).lower(),
            "data_dir": os.path.join(self.folder, "data"), "fault_tolerance.machines": 1,
        }
        values.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        if "{{" in text:
            raise Unable("unknown placeholder in " + role["template"])
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        words = self.deployment.roles[self.role]["run"].split()
        words = [os.path.join(ROOT, words[0])] + [
            self.settings if word == "/etc/hemlockford/settings.toml" else word for word in words[1:]]
        self.log = open(os.path.join(self.folder, "log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                       "HEMLOCKFORD_SETTINGS": self.settings}
        self.is_expected = True
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=self.log, stderr=self.log, env=environment)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def lose_disk(self):
        shutil.rmtree(os.path.join(self.folder, "data"), ignore_errors=True)

    def kill(self):
        self.is_expected = False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Three control machines and some front machines."""

    def __init__(self, record, fronts=2, replicas=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not os.path.exists(os.path.join(ROOT, self.roles["entry"]["run"].split()[0])):
            raise Unable("the programs are not built; run review/build.sh")
        self.ports = {name: free_port() for name in ("front", "ready", "control", "cluster", "relay")}
        zones = ["zone-a", "zone-b", "zone-c"]
        self.replicas = [Node(self, "replica", f"core-{i + 1}", f"127.0.7.{i + 1}", zones[i % 3])
                         for i in range(replicas)]
        self.seeds = [node.address("control") for node in self.replicas[:3]]
        self.fronts = [Node(self, "entry", f"front-{i + 1}", f"127.0.7.{i + 101}", zones[i % 3])
                       for i in range(fronts)]
        self.servers = []

    def start(self, config, limit=20):
        for node in self.replicas + self.fronts:
            node.write_settings(True)
        for node in self.replicas + self.fronts:
            node.start()
        for server in self.servers:
            server.start()
        self.submit(config, limit)
        end = time.monotonic() + limit
        while not all(self.is_ready(node) for node in self.fronts):
            if time.monotonic() > end:
                raise Unable("the front machines do not become ready")
            time.sleep(0.1)
        for node in self.replicas + self.fronts:
            node.write_settings(False)

    def is_ready(self, front):
        answer = call(front.address("ready"), "GET", "/v1/ready")
        return answer is not None and answer[0] == 200

    def submit_many(self, make, first, count):
        """Submits versions one after the other on one connection to the leader; all are acknowledged."""
        node = self.leader()
        host, port = node.address("control").split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for version in range(first, first + count):
            connection.request("POST", "/v1/Config.Replace", json.dumps(make(version)),
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            response.read()
            if response.status != 200:
                raise Unable(f"version {version}: {response.status}")
        connection.close()
        self.record.say(f"versions {first} to {first + count - 1} acknowledged")

    def supervise(self):
        """Starts processes that end by themselves again after a second, as the platform does."""
        def watch():
            while True:
                time.sleep(1)
                for node in self.replicas + self.fronts:
                    if node.is_expected and not node.is_running():
                        node.own_ends += 1
                        self.record.say(f"{node.name}: the process ended by itself with code "
                                        f"{node.process.returncode}, the {node.own_ends}. time")
                        node.start()
        threading.Thread(target=watch, daemon=True).start()

    def submit(self, config, limit=20):
        """Submits a configuration to the control machines in turn until it is acknowledged; returns the time."""
        end, turn = time.monotonic() + limit, 0
        while time.monotonic() < end:
            node = self.replicas[turn % len(self.replicas)]
            turn += 1
            answer = call(node.address("control"), "POST", "/v1/Config.Replace", json.dumps(config),
                          {"Content-Type": "application/json"}, timeout=4.0)
            self.record.write(f"operator: version {config['version']} to {node.name}: {answer and answer[0]}")
            if answer and answer[0] == 200:
                return now()
            if answer and answer[0] in (400, 409, 412, 413, 422):
                raise Unable(f"version {config['version']} was refused: {answer}")
            time.sleep(0.2)
        raise Unable(f"version {config['version']} is not acknowledged")

    def read(self, node, timeout=5.0):
        """Reads the configuration at one machine; returns its version, or None if there is no 200."""
        answer = call(node.address("control"), "GET", "/v1/Config.Read", timeout=timeout)
        return json.loads(answer[2])["version"] if answer and answer[0] == 200 else None

    def leader(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            for node in self.replicas:
                answer = call(node.address("control"), "GET", "/metrics")
                if answer and "hemlockford_leading 1" in answer[2].decode():
                    return node
            time.sleep(0.1)
        raise Unable("no leader")

    def stop(self):
        for server in self.servers:
            server.stop()
        for node in self.replicas + self.fronts:
            node.signal(signal.SIGCONT)
            node.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services):
    """routes: (name, host, prefix, kind, timeout_s, aim_s, priority, attempts, service)"""
    rows = [[name, host, prefix, kind, timeout, aim, priority, None, attempts, service]
            for name, host, prefix, kind, timeout, aim, priority, attempts, service in routes]
    return {
        "version": version,
        "routes": {"columns": ["name", "hostname", "path_prefix", "route_type", "timeout_s", "target_latency_s",
                               "priority", "traffic_split", "max_attempts", "service"], "rows": rows},
        "services": {"columns": ["name", "health_path", "max_connections", "protocol", "tls"],
                     "rows": [[name, "/health", 260, "h1", False] for name in services]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
                   "idle_timeout_s": 15},
    }


class Server:
    """A server of the platform. It announces itself, answers calls and tells its load."""

    def __init__(self, deployment, service, number, instance=None, slots=2, work=0.05, queue=4,
                 tells_load=True):
        self.deployment, self.record, self.service = deployment, deployment.record, service
        self.slots, self.work, self.queue, self.tells_load = slots, work, queue, tells_load
        self.free = threading.Semaphore(slots)
        self.answered = 0
        self.instance = instance or f"i-{random.getrandbits(32):08x}"
        self.name = f"{service}-{number}"
        self.zone = ["zone-a", "zone-b", "zone-c"][number % 3]
        self.address = f"127.0.8.{number}:{free_port()}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.ran = []  # (time, attempt id)
        self.lock = threading.Lock()
        self.running = 0
        self.is_stopped = False
        self.is_beating = True
        self.connections = set()
        self.streams = {}
        self.beat_node = random.randrange(100)

    def start(self):
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def stop(self):
        self.is_stopped = True
        self.is_beating = False
        try:
            self.listener.close()
        except (AttributeError, OSError):
            pass
        for connection in list(self.connections):
            try:
                connection.close()
            except OSError:
                pass

    # Service discovery

    def beat_body(self):
        with self.lock:
            self.sequence += 1
            return json.dumps({
                "address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "capacity": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left_s": 0},
            })

    def tell(self, path, body):
        """Calls the control machines in turn until one acknowledges within a second."""
        nodes = self.deployment.replicas
        for _ in range(len(nodes)):
            node = nodes[self.beat_node % len(nodes)]
            answer = call(node.address("control"), "POST", path, body, {"Content-Type": "application/json"})
            if answer and 200 <= answer[0] < 300 and len(answer[2]) <= 4096:
                return node
            self.beat_node += 1
        return None

    def beat(self):
        while self.is_beating:
            self.tell(f"/v1/Instances.Heartbeat/{self.instance}", self.beat_body())
            time.sleep(1.5)

    def deregister(self):
        """Leaves; returns the time of the acknowledgement, or None."""
        self.is_beating = False
        for _ in range(5):
            node = self.tell(f"/v1/Instances.Deregister/{self.instance}",
                             json.dumps({"address": self.address, "born": self.born}))
            if node is not None:
                self.record.say(f"{self.name} ({self.instance[:24]}): Deregister acknowledged by {node.name}")
                return now()
        self.record.say(f"{self.name} ({self.instance[:24]}): Deregister not acknowledged")
        return None

    # Calls

    def accept(self):
        while not self.is_stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            stream = connection.makefile("rb")
            self.streams[connection] = stream
            while self.serve_one(connection, stream):
                pass
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            self.streams.pop(connection, None)
            connection.close()

    def read_request(self, stream):
        line = stream.readline()
        if not line.endswith(b"\r\n"):
            return None
        method, path, _ = line.decode().split(" ", 2)
        headers = {}
        while True:
            line = stream.readline()
            if line in (b"\r\n", b""):
                break
            name, value = line.decode().split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = stream.read(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                length = int(stream.readline().split(b";")[0], 16)
                body += stream.read(length)
                stream.readline()
                if length == 0:
                    break
        return method, path, headers, body

    def load(self):
        if not self.tells_load:
            return {}
        running = min(self.running, self.slots)
        return {"Backend-Load": f"{running},{self.running - running},{self.slots},100"}

    def is_full(self):
        return self.running >= self.slots + self.queue

    def serve_health(self, connection):
        common = {"Instance-Id": self.instance, "Keep-Alive": "timeout=10", **self.load()}
        if not self.tells_load and self.is_full():
            # Rejected in the same way as any other request.
            self.answer(connection, "503 Service Unavailable", {**common, "Not-Executed": "1"}, b"")
            return True
        status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
        self.answer(connection, status, common, b"")
        return True

    def serve_one(self, connection, stream):
        request = self.read_request(stream)
        if request is None or self.is_stopped:
            return False
        method, path, headers, body = request
        if path == "/health":
            return self.serve_health(connection)
        attempt = headers.get("attempt-id", "")
        common = {"Attempt-Id": attempt, "Keep-Alive": "timeout=10", **self.load()}
        if headers.get("expect-instance", self.instance) != self.instance:
            self.answer(connection, "421 Misdirected Request", common, b"")
            return True
        with self.lock:
            is_full = self.is_full()
            if not is_full:
                self.running += 1
        if is_full:
            self.answer(connection, "503 Service Unavailable", {**common, "Not-Executed": "1"}, b"")
            return True
        with self.free:
            self.ran.append((now(), attempt))
            self.record.write(f"{self.name} runs {attempt} {method} {path}")
            time.sleep(self.work)
        with self.lock:
            self.running -= 1
        payload = f"{self.name} {attempt} {len(body)}\n".encode()
        self.answer(connection, "200 OK", {**common, "Response-Signature": f"sig.{attempt}"}, payload)
        return True

    def answer(self, connection, status, headers, body):
        lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        self.answered += 1
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Client:
    """Sends requests on new connections at a rate, over all front machines in turn."""

    def __init__(self, deployment, host, path, rate, method="GET", deadline_ms=1200, fronts=None):
        self.deployment, self.record = deployment, deployment.record
        self.host, self.path, self.method, self.rate = host, path, method, rate
        self.deadline_ms = deadline_ms
        self.fronts = fronts
        self.answers = []  # (time sent, time answered, front, attempt id, status or None)
        self.is_running = False

    def start(self):
        self.is_running = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def stop(self):
        self.is_running = False
        self.thread.join()
        time.sleep(self.deadline_ms / 1000)

    def run(self):
        turn, at = 0, time.monotonic()
        while self.is_running:
            fronts = self.fronts or self.deployment.fronts
            front = fronts[turn % len(fronts)]
            turn += 1
            threading.Thread(target=self.send, args=(front,), daemon=True).start()
            at += 1 / self.rate
            time.sleep(max(0, at - time.monotonic()))

    def send(self, front):
        attempt, sent = f"{random.getrandbits(64):016x}", now()
        headers = {"Host": self.host, "Attempt-Id": attempt, "Deadline-Ms": str(self.deadline_ms),
                   "Connection": "close"}
        answer = call(front.address("front"), self.method, self.path, headers=headers,
                      timeout=self.deadline_ms / 1000 + 0.5)
        status = answer[0] if answer else None
        self.answers.append((sent, now(), front.name, attempt, status))
        self.record.write(f"client: {attempt} by {front.name}: {status}")

    def statuses(self, since=0.0, until=1e9):
        counts = {}
        for sent, _, _, _, status in list(self.answers):
            if since <= sent < until:
                counts[status] = counts.get(status, 0) + 1
        return counts


def main(folder, play):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployments = []

    def deploy(**options):
        deployments.append(Deployment(record, **options))
        return deployments[-1]

    code = 2
    try:
        broken = play(record, deploy)
        code = 1 if broken else 0
        record.say("RULE BROKEN" if broken else "rule held")
    except Unable as error:
        record.say(f"could not run: {error}")
    except Exception as error:  # A mistake of the script is no finding.
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        for deployment in deployments:
            deployment.stop()
    sys.stdout.flush()
    os._exit(code)

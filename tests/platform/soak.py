"""A fleet of entry processes under faults that overlap, with clients that check each answer."""

import json
import os
import signal
import subprocess
import sys
import time

import gevent
import gevent.socket
from attrs import define, field, frozen
from platformsim import FakeSearcher, FakeStore, make_configuration, make_entry, make_route

from persimmonspur.load.processes import find_free_addresses

# Bounds of the platform.
CONFIGURATION_TIMEOUT_S = 3.0
STABILITY_WINDOW_S = 4.0
DOWNGRADE_SLACK_S = 0.25
SHUTDOWN_S = 6
REQUEST_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 3.0
RESTART_DELAY_S = 0.3
INTERPRETER_START_S = 1.0
MAX_FAULT_S = 4.0
# Longest series of actions in one round, and the longest time between two of them.
MAX_ACTIONS = 6
MAX_ACTION_GAP_S = 1.0
DOMAINS = 3


@frozen
class Served:
    """An answer of one process: the version that selected the searcher, 0 if it was an error."""

    sent_s: float
    lifetime: int
    status: int
    version: int


@define(eq=False)
class Disturbances:
    """Times at which an instance, or the store for all instances, was disturbed."""

    periods: list = field(factory=list)

    def add(self, start_s, end_s):
        self.periods.append((start_s, end_s))

    def overlaps(self, start_s, end_s):
        return any(start < end_s and end > start_s for start, end in self.periods)


class SoakInstance:
    """One entry process that is restarted when it ends, and a client that uses it."""

    def __init__(self, index, store, directory):
        self.index = index
        self.name = f"front-{index}"
        self.front = store.open_front()
        self.disturbances = Disturbances()
        self.served = []
        self.lifetime = 0
        self.started_s = 0.0
        self.process = None
        self._directory = directory
        caller, ready, resolve, peer = find_free_addresses(4)
        self.caller_address = caller
        host, _, peer_port = peer.partition(":")
        settings = {
            "node": self.name,
            "ip": host,
            "zone": f"zone-{index % DOMAINS}",
            "region": "region",
            "listen": {"front": caller, "ready": ready, "directory": resolve},
            "port_range": [int(peer_port), int(peer_port)],
            "platform": {"addr": self.front.address},
            "bounds": {"grace_s": SHUTDOWN_S},
        }
        self._settings_path = directory / f"{self.name}.json"
        self._settings_path.write_text(json.dumps(settings))

    def start(self):
        self.lifetime += 1
        self.started_s = time.monotonic()
        environment = {**os.environ, "PERSIMMONSPUR_BOOT": str(self._settings_path)}
        with (self._directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "persimmonspur.platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait_for_exit(self, timeout_s):
        with gevent.Timeout(timeout_s, False):
            while self.process.poll() is None:
                gevent.sleep(0.02)
        return self.process.poll()

    def stop(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()
        self.front.close()

    def run_client(self):
        """Send requests over one kept connection, which is used until the process is gone."""
        stream = None
        while True:
            gevent.sleep(REQUEST_INTERVAL_S)
            if stream is None:
                stream = self._connect()
                continue
            lifetime = self.lifetime
            sent_s = time.monotonic()
            answer = self._exchange(stream)
            if answer is None:
                stream.close()
                stream = None
                continue
            self.served.append(Served(sent_s, lifetime, *answer))

    def _connect(self):
        host, _, port = self.caller_address.partition(":")
        try:
            sock = gevent.socket.create_connection((host, int(port)), timeout=REQUEST_TIMEOUT_S)
        except OSError:
            return None
        return sock.makefile("rwb")

    def _exchange(self, stream):
        request_id = os.urandom(8).hex()
        try:
            stream.write(
                f"GET /one/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {request_id}\r\n"
                "X-Deadline-Ms: 2000\r\n\r\n".encode()
            )
            stream.flush()
            status, fields = _read_head(stream)
            stream.read(int(fields["content-length"]))
        except (OSError, ValueError, KeyError, IndexError):
            return None
        identity, _, echoed_id = fields.get("x-server-stamp", "").partition(".")
        assert not echoed_id or echoed_id == request_id, "the answer belongs to another request"
        return status, int(identity.removeprefix("i-")) if identity else 0


def _read_head(stream):
    status = int(stream.readline().split(b" ")[1])
    fields = {}
    while line := stream.readline().strip().decode():
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return status, fields


class Soak:
    """A fleet, a store and a random sequence of faults, restarts and changes.

    Each version of the configuration sends all requests to a searcher of its own, so each
    answer shows which version was in effect.
    """

    def __init__(self, rng, instances, directory):
        self.rng = rng
        self.store = FakeStore()
        self.store_disturbances = Disturbances()
        self.searchers = []
        self.acknowledged = []
        self.instances = [SoakInstance(index, self.store, directory) for index in range(instances)]
        self.change_configuration()
        self._greenlets = []

    def start(self):
        for instance in self.instances:
            instance.start()
            self._greenlets.append(gevent.spawn(instance.run_client))

    def stop(self):
        gevent.killall(self._greenlets)
        for instance in self.instances:
            instance.stop()
        for searcher in self.searchers:
            searcher.close()
        self.store.close()

    def run_round(self):
        """Start a series of faults, restarts and changes that overlap, and let all of them end.

        Then a change has to take effect everywhere within the bounds.

        :returns: the instances that do not have it in effect.
        """
        running = []
        for _ in range(self.rng.randint(1, MAX_ACTIONS)):
            running.append(gevent.spawn(self.rng.choice(self.ACTIONS), self))
            gevent.sleep(self.rng.uniform(0.0, MAX_ACTION_GAP_S))
        gevent.joinall(running, raise_error=True)
        gevent.sleep(STABILITY_WINDOW_S)
        self.change_configuration()
        gevent.sleep(CONFIGURATION_TIMEOUT_S)
        return self.find_behind()

    def change_configuration(self):
        version = len(self.acknowledged) + 1
        searcher = FakeSearcher(f"i-{version}")
        self.searchers.append(searcher)
        service = f"s{version}"
        self.store.put("servers", searcher.identity, make_entry(searcher, service))
        route = make_route(service=service)
        self.store.put("config", "main", make_configuration(version, [route], [service]))
        self.acknowledged.append(time.monotonic())

    def silence_store(self):
        self._disturb_store("silent")

    def silence_store_after_a_change(self):
        self.change_configuration()
        gevent.sleep(self.rng.choice((0.0, 0.002, 0.1)))
        self._disturb_store("silent")

    def take_store_down(self):
        self._disturb_store("down")

    def compact_history(self):
        now_s = time.monotonic()
        self.store.compact_history()
        self.store_disturbances.add(now_s, now_s)

    def restore_store(self):
        """Restore the store from a copy that lacks changes; one more follows soon after it."""
        copy = self.store.take_copy()
        for _ in range(self.rng.randint(0, 2)):
            self.change_configuration()
        gevent.sleep(self.rng.uniform(0.1, MAX_FAULT_S))
        start_s = time.monotonic()
        fronts = [instance.front for instance in self.instances]
        for front in fronts:
            front.down = True
        self.store.restore(copy, ("servers", "config"))
        self._set_faults(fronts, "down")
        self.store_disturbances.add(start_s, time.monotonic())
        self.change_configuration()

    def _disturb_store(self, fault):
        start_s = time.monotonic()
        fronts = [instance.front for instance in self.instances]
        self._set_faults(fronts, fault)
        self.store_disturbances.add(start_s, time.monotonic())

    def turn_instances_away(self):
        count = max(1, len(self.instances) // 3)
        chosen = self.rng.sample(self.instances, count)
        start_s = time.monotonic()
        self._set_faults([instance.front for instance in chosen], "down")
        for instance in chosen:
            instance.disturbances.add(start_s, time.monotonic())

    def leave_instances_unanswered(self):
        """Leave a third of the instances without answers; they still have to follow changes."""
        count = max(1, len(self.instances) // 3)
        chosen = self.rng.sample(self.instances, count)
        change = gevent.spawn_later(0.1, self.change_configuration)
        self._set_faults([instance.front for instance in chosen], "silent", 2 * MAX_FAULT_S)
        change.join()

    def _set_faults(self, fronts, fault, max_duration_s=MAX_FAULT_S):
        for front in fronts:
            setattr(front, fault, True)
        gevent.sleep(self.rng.uniform(0.3, max_duration_s))
        for front in fronts:
            setattr(front, fault, False)

    def freeze(self):
        instance = self.rng.choice(self.instances)
        start_s = time.monotonic()
        instance.send_signal(signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(0.2, 3.0))
        instance.send_signal(signal.SIGCONT)
        instance.disturbances.add(start_s, time.monotonic())

    def reload(self):
        instance = self.rng.choice(self.instances)
        # Until the interpreter runs the program's first lines, this signal ends the process.
        if time.monotonic() - instance.started_s > INTERPRETER_START_S:
            instance.send_signal(signal.SIGHUP)

    def terminate(self):
        self._restart(self.rng.choice(self.instances), signal.SIGTERM)

    def kill(self):
        self._restart(self.rng.choice(self.instances), signal.SIGKILL)

    def kill_all(self):
        restarts = []
        for instance in self.instances:
            restarts.append(gevent.spawn(self._restart, instance, signal.SIGKILL))
        gevent.joinall(restarts, raise_error=True)

    def _restart(self, instance, number):
        start_s = time.monotonic()
        lifetime = instance.lifetime
        instance.send_signal(number)
        code = instance.wait_for_exit(SHUTDOWN_S + 4.0)
        if lifetime != instance.lifetime:
            return  # Another restart of the instance overlapped and has started it already.
        if code is None:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            instance.wait_for_exit(5.0)
        instance.start()
        gevent.sleep(RESTART_DELAY_S)
        instance.disturbances.add(start_s, time.monotonic())

    ACTIONS = (
        change_configuration,
        change_configuration,
        change_configuration,
        silence_store,
        silence_store_after_a_change,
        take_store_down,
        compact_history,
        restore_store,
        turn_instances_away,
        leave_instances_unanswered,
        freeze,
        reload,
        terminate,
        kill,
        kill_all,
    )

    def find_outdated(self):
        """Return the answers of an older version than was due at an undisturbed instance."""
        outdated = []
        for instance in self.instances:
            for served in instance.served:
                due = self._find_due_version(served.sent_s)
                if not served.version or served.version >= due:
                    continue
                if self._is_disturbed(instance, served.sent_s):
                    continue
                outdated.append((instance.name, served, due))
        return outdated

    def find_rejected(self):
        """Return the answers 404 for the route that each version has."""
        rejected = []
        for instance in self.instances:
            rejected += [served for served in instance.served if served.status == 404]
        return rejected

    def find_downgrades(self):
        """Return the answers of an older version than the same process had in effect before."""
        downgrades = []
        for instance in self.instances:
            newest = {}
            for served in instance.served:
                version, since_s = newest.get(served.lifetime, (0, 0.0))
                if served.version > version:
                    newest[served.lifetime] = (served.version, served.sent_s)
                elif 0 < served.version < version and served.sent_s > since_s + DOWNGRADE_SLACK_S:
                    downgrades.append((instance.name, served, version))
        return downgrades

    def find_behind(self):
        """Return the instances whose last answer is old or not of the newest version."""
        newest = len(self.acknowledged)
        now_s = time.monotonic()
        behind = []
        for instance in self.instances:
            last = instance.served[-1] if instance.served else None
            age_s = now_s - last.sent_s if last is not None else 0.0
            if last is None or last.version != newest or age_s > REQUEST_TIMEOUT_S:
                behind.append((instance.name, last, newest, age_s, instance.process.poll()))
        return behind

    def _find_due_version(self, time_s):
        due = 0
        for version, acknowledged_s in enumerate(self.acknowledged, start=1):
            if acknowledged_s + CONFIGURATION_TIMEOUT_S < time_s:
                due = version
        return due

    def _is_disturbed(self, instance, time_s):
        since_s = time_s - STABILITY_WINDOW_S
        return instance.disturbances.overlaps(since_s, time_s) or self.store_disturbances.overlaps(
            since_s, time_s
        )

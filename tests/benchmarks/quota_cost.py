"""Cost of client accounts: memory of a process, processor time of a refusal, messages.

    PYTHONPATH=src python tests/benchmarks/quota_cost.py {memory,refusals,messages}

``memory`` starts a process among 130 registered instances, without accounts and with 83, and
prints its resident memory. ``refusals`` prints the processor time of requests that are refused.
``messages`` counts the messages between 131 simulated instances.
"""

import argparse
import statistics
import sys
import tempfile
import time
from pathlib import Path

TESTS = Path(__file__).resolve().parents[1]
sys.path += [str(TESTS), str(TESTS / "platform")]

INSTANCES = 131
ACCOUNTS = 83
KEYS_PER_ACCOUNT = 2
SETTLING_S = 8.0
REFUSALS = 20_000
ROUNDS = 5


def main() -> None:
    """Print the figures of one part."""
    parser = argparse.ArgumentParser()
    parser.add_argument("part", choices=("memory", "refusals", "messages"))
    parts = {"memory": print_memory, "refusals": print_refusals, "messages": print_messages}
    parts[parser.parse_args().part]()


def make_tenants(count: int) -> list[dict]:
    """Return the configuration of some accounts."""
    tenants = []
    for index in range(count):
        keys = [f"key-{index}-{key}-0123456789abcdef" for key in range(KEYS_PER_ACCOUNT)]
        rate_per_s = 500.0 if index < 4 else 5.0
        tenants.append({"name": f"account-{index}", "api_keys": keys, "rate_per_s": rate_per_s})
    return tenants


def print_memory() -> None:
    """Print the resident memory of a process by the number of accounts."""
    import gevent
    from entryprocess import EntryProcesses
    from platformsim import make_configuration, make_route

    for accounts in (0, ACCOUNTS, 10 * ACCOUNTS):
        with tempfile.TemporaryDirectory() as folder:
            processes = EntryProcesses(Path(folder))
            for index in range(INSTANCES - 1):
                registration = {
                    "incarnation": 1,
                    "zone": f"zone-{index % 8}",
                    "region": "region",
                    "front": f"127.0.0.1:{10_000 + index}",
                    "peer": f"127.0.0.1:{20_000 + index}",
                }
                processes.store.put("entry-instances", f"peer-{index}", registration)
            tenants = make_tenants(accounts)
            configuration = make_configuration(1, [make_route()], ["s1"], tenants)
            processes.store.put("config", "main", configuration)
            process = processes.start(quota_overshoot=0.1, quota_slack=20)
            gevent.sleep(SETTLING_S)
            status = Path(f"/proc/{process.pid}/status").read_text()
            processes.close()
        lines = [line.split() for line in status.splitlines()]
        figures = {line[0]: int(line[1]) / 1024 for line in lines if line[0] in FIGURES}
        print(f"{accounts} accounts:", ", ".join(f"{k} {v:.1f} MB" for k, v in figures.items()))


FIGURES = ("VmRSS:", "VmHWM:")


def print_refusals() -> None:
    """Print the processor time of a refused request in the request handler."""
    from gather_cost import build_instance
    from platformsim import make_configuration, make_route

    from persimmonspur.entry.server import HttpRequest
    from persimmonspur.platform.documents import decode_route_table

    instance = build_instance()
    tenants = make_tenants(ACCOUNTS)
    table = decode_route_table(make_configuration(1, [make_route()], ["s1"], tenants)).ok
    instance.state.routes.replace_if_newer(table)
    instance.quotas.set_accounts(table.accounts.accounts.values())
    host = [(b"Host", b"host.example"), (b"X-Request-Id", b"r")]
    known = [*host, (b"Authorization", b"Token key-0-0-0123456789abcdef")]
    for status, headers in ((429, known), (401, host)):
        figures = []
        for _ in range(ROUNDS):
            statuses = []
            started_s = time.process_time()
            for _ in range(REFUSALS):
                now_ms = instance.clock.now_ms()
                request = HttpRequest("GET", b"/one/x", headers, b"", now_ms)
                instance.request_handler.handle(
                    request, lambda response, statuses=statuses: statuses.append(response.status)
                )
            figures.append((time.process_time() - started_s) * 1e6 / REFUSALS)
            assert set(statuses) == {status}
        median = statistics.median(figures)
        print(f"{status}: {median:.1f} µs ({min(figures):.1f} to {max(figures):.1f})")


def print_messages() -> None:
    """Print the messages per second of a whole fleet, by kind."""
    from persimmonspur.core.fleet.accounts import Account
    from quotasim import Fleet

    large = [Account(f"large-{index}", None, 200.0, 200.0) for index in range(4)]
    small = [Account(f"small-{index}", None, 5.0, 5.0) for index in range(ACCOUNTS - 4)]
    cases = {"within their quotas": 0.8, "at twice their quotas": 2.0}
    for case, load in cases.items():
        fleet = Fleet(INSTANCES, large + small)
        fleet.advance(4_000.0)
        before, bytes_before = dict(fleet.messages), fleet.sent_bytes
        entry_set = fleet.entry_set()
        for account in large + small:
            fleet.offer(account.name, entry_set, load * account.rate_per_s, 4_000.0)
        fleet.advance(4_000.0)
        counts = {kind: (count - before.get(kind, 0)) / 4 for kind, count in fleet.messages.items()}
        sent = (fleet.sent_bytes - bytes_before) / 4
        print(f"{ACCOUNTS} accounts {case}: {counts} a second, {sent / 1000:.1f} KB/s payload")


if __name__ == "__main__":
    main()

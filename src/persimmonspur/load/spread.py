"""Measures how fast configuration changes reach all instances and how many calls they cost.

``python -m persimmonspur.load.spread --instances 17 --changes 10``
"""

import argparse
import sys
import time
from uuid import uuid4

import msgspec
from attrs import define, field
from expression import Result

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.adapters.publishing import Publisher
from persimmonspur.clock import Clock
from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.core.configuration.parts import ROOT_KEY
from persimmonspur.core.configuration.states import TargetKind, set_desired_state
from persimmonspur.daemon.events import CONFIGURATION_ADOPTED
from persimmonspur.errors import Failure
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import DeploymentProcesses, get_json, start_deployment
from persimmonspur.model.configuration import Configuration, DesiredState
from persimmonspur.ports import StoredObject

OPERATOR_CLIENT = "operator"
ADOPTION_TIMEOUT_S = 30.0


class TimedObjectApi:
    """Object API client that records the time of the last write of the root."""

    def __init__(self, api: HttpObjectApi) -> None:
        self._api = api
        self.root_written_ms = 0.0

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Forward a read."""
        return self._api.read(key)

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Forward a write."""
        if key == ROOT_KEY:
            self.root_written_ms = time.time_ns() / 1e6
        return self._api.write(key, value, expected_version)

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Forward a watch."""
        return self._api.watch(key, after_version, timeout_ms)


@define
class PropagationResult:
    """Results of a run.

    :param effect_ms: time from the write of the root until the last instance adopted the
        version, in milliseconds, for each change.
    :param first_ms: the same until the first instance adopted it.
    :param calls: object API calls of the operator and all instances, by kind, for each change.
    :param idle_calls_per_s: object API calls per second without changes.
    """

    effect_ms: list[float] = field(factory=list)
    first_ms: list[float] = field(factory=list)
    calls: list[dict[str, int]] = field(factory=list)
    idle_calls_per_s: float = 0.0


def measure_propagation(
    processes: DeploymentProcesses, changes: int, idle_s: float = 10.0
) -> PropagationResult:
    """Alternately drain and restore an endpoint, and wait until all instances adopt each change.

    :param changes: number of changes.
    :param idle_s: length of the initial measurement without changes, in seconds.
    """
    result = PropagationResult()
    before = read_call_counts(processes.object_api)
    time.sleep(idle_s)
    result.idle_calls_per_s = sum(
        _subtract(read_call_counts(processes.object_api), before).values()
    )
    result.idle_calls_per_s /= idle_s
    api = TimedObjectApi(HttpObjectApi(processes.object_api, client=OPERATOR_CLIENT))
    name = processes.configuration.services[0].endpoints[0].name
    for number in range(changes):
        desired = DesiredState.SERVING if number % 2 else DesiredState.DRAINING
        before = read_call_counts(processes.object_api)
        version = _set_endpoint_state(api, name, desired)
        adopted_ms = [
            _wait_for_adoption(daemon.caller_address, version)
            for daemon in processes.daemons.values()
        ]
        # Instances renew their watches within this time; those calls are counted too.
        time.sleep(0.2)
        result.calls.append(_subtract(read_call_counts(processes.object_api), before))
        result.effect_ms.append(max(adopted_ms) - api.root_written_ms)
        result.first_ms.append(min(adopted_ms) - api.root_written_ms)
    return result


def read_call_counts(object_api: str) -> dict[str, int]:
    """Return the calls counted by the object API stand-in, by kind."""
    counts = get_json(object_api, "/counts")
    return {name: counts[name] for name in ("reads", "writes", "watches", "listings")}


def main() -> int:
    """Run the measurement and print one line of JSON."""
    parser = argparse.ArgumentParser(prog="persimmonspur.load.spread")
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default="ulaanbaatar")
    parser.add_argument("--instances", type=int, default=17)
    parser.add_argument("--changes", type=int, default=10)
    options = parser.parse_args()
    processes = start_deployment(DEPLOYMENTS[options.deployment], options.instances)
    try:
        result = measure_propagation(processes, options.changes)
    finally:
        processes.stop()
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    return 0


def _set_endpoint_state(api: TimedObjectApi, name: str, desired: DesiredState) -> int:
    def set_state(current: Configuration | None) -> Result[Configuration, list[DocumentError]]:
        return set_desired_state(current, TargetKind.ENDPOINT, name, desired)

    published = Publisher(api, Clock()).publish(set_state, f"{OPERATOR_CLIENT}/{uuid4()}")
    if published.is_error():
        raise RuntimeError(published.error.failure.message)
    return published.ok.version


def _wait_for_adoption(address: str, version: int) -> float:
    deadline = time.monotonic() + ADOPTION_TIMEOUT_S
    while time.monotonic() < deadline:
        document = get_json(address, "/v1/timeline") or {"entries": []}
        for entry in document["entries"]:
            if entry["code"] != CONFIGURATION_ADOPTED.code:
                continue
            if entry["fields"]["version"] >= version:
                return float(entry["wall_ms"])
        time.sleep(0.05)
    raise TimeoutError(f"{address} did not adopt configuration version {version}")


def _subtract(after: dict[str, int], before: dict[str, int]) -> dict[str, int]:
    return {name: after[name] - before[name] for name in after}


if __name__ == "__main__":
    sys.exit(main())

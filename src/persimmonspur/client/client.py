"""Sends queries to the instances of a deployment and fails over between them."""

import uuid
from random import Random
from typing import Any

import gevent
import msgspec
from attrs import evolve, field, frozen
from geventhttpclient import HTTPClient

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.clock import Clock
from persimmonspur.core.routing.hedging import RetryBudget
from persimmonspur.core.routing.latency import LatencyEstimators
from persimmonspur.errors import ErrorKind, Ran

MAX_CONNECTIONS_PER_INSTANCE = 32
RESOLVE_TIMEOUT_MS = 300.0
# How long the client waits for a response after the timeout of the query has expired.
RESPONSE_GRACE_MS = 500.0
# An instance that has not responded after this multiple of the 99th percentile is
# probably frozen, so the next one is tried if the retry budget permits it.
FAILOVER_P99_FACTOR = 3.0
MIN_FAILOVER_TIMEOUT_MS = 150.0
INITIAL_LATENCY_MS = 50.0
# Instances take about 4 s to drop an unresponsive member from the addresses that they
# return. Until then the client itself prefers other instances.
AVOID_UNREACHABLE_MS = 5_000.0


@frozen
class QueryResult:
    """Result of a query, over all of its attempts.

    :param status: HTTP status; 0 if no instance responded.
    :param covered: key space units that the records cover.
    :param total: key space units that the query needs.
    :param error: ``None`` on success.
    :param ran: whether any attempt ran, not only the last one.
    :param attempts: number of instances that were tried.
    """

    request_id: str
    status: int
    snapshot: str | None = None
    covered: int = 0
    total: int = 0
    missing_shards: tuple[str, ...] = ()
    records: list[Any] = field(factory=list)
    error: ErrorKind | None = None
    message: str = ""
    ran: Ran = Ran.YES
    sub_requests: int = 0
    attempts: int = 1


class Client:
    """Client of one deployment.

    :param seeds: addresses (``ip:port``) of the instances to contact first.
    :param seed: seed of the random order of addresses.
    """

    def __init__(self, seeds: list[str], clock: Clock | None = None, seed: int = 1) -> None:
        self._seeds = list(seeds)
        self._clock = clock or Clock()
        self._rng = Random(seed)
        self._addresses: list[str] = []
        self._addresses_valid_until_ms = 0.0
        self._resolving = False
        self._clients: dict[str, HTTPClient] = {}
        self._latency_estimators = LatencyEstimators()
        self._retry_budget = RetryBudget()
        self._avoid_until_ms: dict[str, float] = {}

    def resolve(self) -> list[str]:
        """Return the addresses to use, from the cache while it is valid.

        While one query refreshes the cache, others use the cached addresses.
        """
        is_valid = self._clock.now_ms() < self._addresses_valid_until_ms
        if self._addresses and (is_valid or self._resolving):
            return self._addresses
        self._resolving = True
        try:
            self._refresh()
        finally:
            self._resolving = False
        return self._addresses or self._seeds

    def query(
        self,
        service: str,
        priority_class: str,
        timeout_ms: float,
        *,
        body: Any = None,
        repeatable: bool = True,
        allow_partial: bool = False,
        key: int | None = None,
        limit: int | None = None,
        request_id: str = "",
    ) -> QueryResult:
        """Run a query and fail over to other instances if that is safe.

        A request that did not run, or that is repeatable, is sent to the next
        address. A non-repeatable request whose outcome is unknown is not sent
        again.

        :param timeout_ms: timeout over all attempts in milliseconds.
        :param request_id: generated if empty.
        :returns: the result; failures of instances are returned, never raised.
        """
        request_id = request_id or uuid.uuid4().hex
        deadline_ms = self._clock.now_ms() + timeout_ms
        addresses = self.resolve()
        addresses = self._order_addresses(addresses)
        latency_estimator = self._latency_estimators.get(
            service, priority_class, INITIAL_LATENCY_MS
        )
        self._retry_budget.record_first_attempts(1)
        result = QueryResult(
            request_id, 0, error=ErrorKind.UNREACHABLE, message="no instance answered", ran=Ran.NO
        )
        ran = Ran.NO
        for attempt in range(len(addresses)):
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            address = addresses[attempt]
            document = {
                "service": service,
                "class": priority_class,
                "timeout_ms": remaining_ms,
                "request_id": request_id,
                "repeatable": repeatable,
                "allow_partial": allow_partial,
                "key": key,
                "body": body,
                "limit": limit,
            }
            attempt_timeout_ms = remaining_ms + RESPONSE_GRACE_MS
            failover_timeout_ms = max(
                MIN_FAILOVER_TIMEOUT_MS, FAILOVER_P99_FACTOR * latency_estimator.p99_ms
            )
            can_fail_over = repeatable and attempt + 1 < len(addresses)
            if (
                failover_timeout_ms < remaining_ms
                and can_fail_over
                and self._retry_budget.try_acquire_retry()
            ):
                attempt_timeout_ms = failover_timeout_ms
            started_ms = self._clock.now_ms()
            result = self._post_query(address, document, attempt_timeout_ms, attempt + 1)
            now_ms = self._clock.now_ms()
            if result.error is ErrorKind.UNREACHABLE:
                self._avoid_until_ms[address] = now_ms + AVOID_UNREACHABLE_MS
            else:
                latency_estimator.observe(now_ms - started_ms, now_ms)
            ran = _combine_ran(ran, result)
            result = evolve(result, ran=ran)
            if not _should_fail_over(result, repeatable):
                return result
            self._addresses_valid_until_ms = 0.0
        return result

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _refresh(self) -> None:
        for address in self._order_addresses(list(dict.fromkeys([*self._addresses, *self._seeds]))):
            document = self._get_json(address, "/v1/resolve", RESOLVE_TIMEOUT_MS)
            now_ms = self._clock.now_ms()
            if document is None:
                self._avoid_until_ms[address] = now_ms + AVOID_UNREACHABLE_MS
                continue
            if not document["addresses"]:
                continue
            self._addresses = document["addresses"]
            self._addresses_valid_until_ms = now_ms + document["keep_ms"]
            return

    def _order_addresses(self, addresses: list[str]) -> list[str]:
        """Rotate the addresses randomly and move those that failed recently to the end."""
        now_ms = self._clock.now_ms()
        start = self._rng.randrange(len(addresses))
        rotated = addresses[start:] + addresses[:start]
        return sorted(rotated, key=lambda name: self._avoid_until_ms.get(name, 0.0) > now_ms)

    def _get_client(self, address: str) -> HTTPClient:
        if address not in self._clients:
            self._clients[address] = connect_client(address, MAX_CONNECTIONS_PER_INSTANCE, 60_000.0)
        return self._clients[address]

    def _get_json(self, address: str, path: str, timeout_ms: float) -> Any:
        try:
            with gevent.Timeout(timeout_ms / 1000):
                response = self._get_client(address).get(path)
                return msgspec.json.decode(bytes(response.read()))
        except (gevent.Timeout, *HTTP_ERRORS):
            return None

    def _post_query(
        self, address: str, document: dict[str, Any], timeout_ms: float, attempts: int
    ) -> QueryResult:
        request_id = document["request_id"]
        try:
            with gevent.Timeout(timeout_ms / 1000):
                response = self._get_client(address).post(
                    "/v1/query", body=msgspec.json.encode(document)
                )
                data = msgspec.json.decode(bytes(response.read()))
        except ConnectionRefusedError as error:
            return _build_unreachable_result(request_id, error, Ran.NO, attempts)
        except (gevent.Timeout, *HTTP_ERRORS) as error:
            return _build_unreachable_result(request_id, error, Ran.UNKNOWN, attempts)
        return _parse_result(request_id, response.status_code, data, attempts)


_FAILOVER_ERRORS = (ErrorKind.NOT_READY, ErrorKind.LEAVING, ErrorKind.UNREACHABLE)
# Errors that depend on the state of one instance; another instance may succeed.
_INSTANCE_SPECIFIC_ERRORS = (
    ErrorKind.NO_SNAPSHOT,
    ErrorKind.INCOMPLETE,
    ErrorKind.ENDPOINT_UNAVAILABLE,
)


def _combine_ran(previous: Ran, result: QueryResult) -> Ran:
    """Return whether any attempt so far ran.

    A rejected attempt does not change what is known about an earlier attempt whose
    response was lost.
    """
    if result.error is None or result.ran is Ran.YES:
        return Ran.YES
    return previous if result.ran is Ran.NO else Ran.UNKNOWN


def _should_fail_over(result: QueryResult, repeatable: bool) -> bool:
    if repeatable:
        return result.error in _FAILOVER_ERRORS
    return result.ran is Ran.NO and result.error in (*_FAILOVER_ERRORS, *_INSTANCE_SPECIFIC_ERRORS)


def _build_unreachable_result(
    request_id: str, error: BaseException, ran: Ran, attempts: int
) -> QueryResult:
    return QueryResult(
        request_id,
        0,
        error=ErrorKind.UNREACHABLE,
        message=repr(error),
        ran=ran,
        attempts=attempts,
    )


def _parse_result(request_id: str, status: int, data: Any, attempts: int) -> QueryResult:
    error = data.get("error")
    coverage = data.get("coverage") or {"covered": 0, "total": 0}
    return QueryResult(
        data.get("request_id", request_id),
        status,
        data.get("snapshot"),
        coverage["covered"],
        coverage["total"],
        tuple(data.get("missing_shards", ())),
        data.get("records", []),
        ErrorKind(error) if error else None,
        data.get("message", ""),
        Ran(data.get("ran", "yes")),
        data.get("sub_requests", 0),
        attempts,
    )

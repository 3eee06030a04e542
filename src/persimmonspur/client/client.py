"""Finds instances, keeps their addresses, and fails over between them."""

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

CONNECTIONS = 32
RESOLVE_TIMEOUT_MS = 300.0
# Time beyond the query's own timeout that the client waits for the answer.
GRACE_MS = 500.0
# An instance that has not answered by this multiple of the 99th percentile is
# probably frozen: another one is asked, within the budget of extra attempts.
PATIENCE_PERCENTILES = 3.0
LEAST_PATIENCE_MS = 150.0
TYPICAL_MS = 50.0
# Instances stop naming a silent member after about 4 s; until then the client
# itself prefers others.
AVOID_MS = 5_000.0


@frozen
class QueryResult:
    """What a caller gets.

    :param status: HTTP status; 0 if no instance answered.
    :param covered: key space units that the records cover.
    :param total: key space units that the query needs.
    :param error: ``None`` on success.
    :param ran: over all attempts of the request, not only the last one.
    :param attempts: instances that were tried.
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
    """A caller of one deployment.

    :param seeds: addresses (``ip:port``) that are asked first.
    """

    def __init__(self, seeds: list[str], clock: Clock | None = None, seed: int = 1) -> None:
        self._seeds = list(seeds)
        self._clock = clock or Clock()
        self._rng = Random(seed)
        self._addresses: list[str] = []
        self._addresses_valid_until_ms = 0.0
        self._resolving = False
        self._clients: dict[str, HTTPClient] = {}
        self._latencies = LatencyEstimators()
        self._budget = RetryBudget()
        self._avoid_until_ms: dict[str, float] = {}

    def resolve(self) -> list[str]:
        """Return the addresses to use, from the cache while it may be kept.

        While one query asks, others go on with the addresses that are known.
        """
        fresh = self._clock.now_ms() < self._addresses_valid_until_ms
        if self._addresses and (fresh or self._resolving):
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
        """Run a query and fail over if that is safe.

        A request that did not run, or that may be repeated, is tried at the
        next address. A non-repeatable request whose outcome is unknown is not
        sent again.

        :param timeout_ms: total time in milliseconds.
        :param request_id: generated if empty.
        :returns: the answer; never raises for failures of instances.
        """
        request_id = request_id or uuid.uuid4().hex
        deadline_ms = self._clock.now_ms() + timeout_ms
        addresses = self.resolve()
        addresses = self._order(addresses)
        estimate = self._latencies.get(service, priority_class, TYPICAL_MS)
        self._budget.record_first_attempts(1)
        answer = QueryResult(
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
            limit_ms = remaining_ms + GRACE_MS
            patience_ms = max(LEAST_PATIENCE_MS, PATIENCE_PERCENTILES * estimate.p99_ms)
            may_leave = repeatable and attempt + 1 < len(addresses)
            if patience_ms < remaining_ms and may_leave and self._budget.try_acquire_retry():
                limit_ms = patience_ms
            started_ms = self._clock.now_ms()
            answer = self._post_query(address, document, limit_ms, attempt + 1)
            now_ms = self._clock.now_ms()
            if answer.error is ErrorKind.UNREACHABLE:
                self._avoid_until_ms[address] = now_ms + AVOID_MS
            else:
                estimate.observe(now_ms - started_ms, now_ms)
            ran = _combine(ran, answer)
            answer = evolve(answer, ran=ran)
            if not _should_fail_over(answer, repeatable):
                return answer
            self._addresses_valid_until_ms = 0.0
        return answer

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _refresh(self) -> None:
        for address in self._order(list(dict.fromkeys([*self._addresses, *self._seeds]))):
            document = self._get_json(address, "/v1/resolve", RESOLVE_TIMEOUT_MS)
            now_ms = self._clock.now_ms()
            if document is None:
                self._avoid_until_ms[address] = now_ms + AVOID_MS
                continue
            if not document["addresses"]:
                continue
            self._addresses = document["addresses"]
            self._addresses_valid_until_ms = now_ms + document["keep_ms"]
            return

    def _order(self, addresses: list[str]) -> list[str]:
        """Return the addresses in random order, those that just failed last."""
        now_ms = self._clock.now_ms()
        start = self._rng.randrange(len(addresses))
        rotated = addresses[start:] + addresses[:start]
        return sorted(rotated, key=lambda name: self._avoid_until_ms.get(name, 0.0) > now_ms)

    def _find_client(self, address: str) -> HTTPClient:
        if address not in self._clients:
            self._clients[address] = connect_client(address, CONNECTIONS, 60_000.0)
        return self._clients[address]

    def _get_json(self, address: str, path: str, timeout_ms: float) -> Any:
        try:
            with gevent.Timeout(timeout_ms / 1000):
                response = self._find_client(address).get(path)
                return msgspec.json.decode(bytes(response.read()))
        except (gevent.Timeout, *HTTP_ERRORS):
            return None

    def _post_query(
        self, address: str, document: dict[str, Any], timeout_ms: float, attempts: int
    ) -> QueryResult:
        request_id = document["request_id"]
        try:
            with gevent.Timeout(timeout_ms / 1000):
                response = self._find_client(address).post(
                    "/v1/query", body=msgspec.json.encode(document)
                )
                data = msgspec.json.decode(bytes(response.read()))
        except ConnectionRefusedError as error:
            return _build_unreachable(request_id, error, Ran.NO, attempts)
        except (gevent.Timeout, *HTTP_ERRORS) as error:
            return _build_unreachable(request_id, error, Ran.UNKNOWN, attempts)
        return _parse_answer(request_id, response.status_code, data, attempts)


_FAIL_OVER = (ErrorKind.NOT_READY, ErrorKind.LEAVING, ErrorKind.UNREACHABLE)
# Failures of one instance's view: another instance may succeed.
_ELSEWHERE = (ErrorKind.NO_SNAPSHOT, ErrorKind.INCOMPLETE, ErrorKind.ENDPOINT_UNAVAILABLE)


def _combine(former: Ran, answer: QueryResult) -> Ran:
    """Return what is known over all attempts.

    A later attempt that was rejected says nothing about an earlier one whose
    answer was lost.
    """
    if answer.error is None or answer.ran is Ran.YES:
        return Ran.YES
    return former if answer.ran is Ran.NO else Ran.UNKNOWN


def _should_fail_over(answer: QueryResult, repeatable: bool) -> bool:
    if repeatable:
        return answer.error in _FAIL_OVER
    return answer.ran is Ran.NO and answer.error in (*_FAIL_OVER, *_ELSEWHERE)


def _build_unreachable(
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


def _parse_answer(request_id: str, status: int, data: Any, attempts: int) -> QueryResult:
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

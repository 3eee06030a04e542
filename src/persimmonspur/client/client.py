"""Finds instances, keeps their addresses, and fails over between them."""

import uuid
from random import Random
from typing import Any

import gevent
import msgspec
from attrs import field, frozen
from geventhttpclient import HTTPClient

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran

CONNECTIONS = 32
RESOLVE_TIMEOUT_MS = 1_000.0
# Time beyond the query's own timeout that the client waits for the answer.
GRACE_MS = 500.0


@frozen
class ClientAnswer:
    """What a caller gets.

    :param status: HTTP status; 0 if no instance answered.
    :param covered: key space units that the records cover.
    :param total: key space units that the query needs.
    :param error: ``None`` on success.
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
        self._epoch = 0
        self._keep_until_ms = 0.0
        self._clients: dict[str, HTTPClient] = {}

    def resolve(self) -> list[str]:
        """Return the addresses to use, from the cache while it may be kept."""
        if self._addresses and self._clock.now_ms() < self._keep_until_ms:
            return self._addresses
        known = [*self._addresses, *self._seeds]
        for address in known:
            document = self._get_json(address, "/v1/resolve", RESOLVE_TIMEOUT_MS)
            if document is None or not document["addresses"]:
                continue
            self._addresses = document["addresses"]
            self._epoch = document["epoch"]
            self._keep_until_ms = self._clock.now_ms() + document["keep_ms"]
            break
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
    ) -> ClientAnswer:
        """Run a query and fail over if that is safe.

        A request that did not run, or that may be repeated, is tried at the
        next address. A non-repeatable request is only repeated under the same
        request id, which the instances recognise.

        :param timeout_ms: total time in milliseconds.
        :returns: the answer; never raises for failures of instances.
        """
        request_id = request_id or uuid.uuid4().hex
        deadline_ms = self._clock.now_ms() + timeout_ms
        addresses = self.resolve()
        start = self._rng.randrange(len(addresses))
        answer = ClientAnswer(
            request_id, 0, error=ErrorKind.UNREACHABLE, message="no instance answered", ran=Ran.NO
        )
        for attempt in range(len(addresses)):
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            address = addresses[(start + attempt) % len(addresses)]
            document = {
                "service": service,
                "class": priority_class,
                "timeout_ms": remaining_ms,
                "request_id": request_id,
                "epoch": self._epoch,
                "repeatable": repeatable,
                "allow_partial": allow_partial,
                "key": key,
                "body": body,
                "limit": limit,
            }
            answer = self._post_query(address, document, remaining_ms + GRACE_MS, attempt + 1)
            if not _should_fail_over(answer):
                return answer
            self._keep_until_ms = 0.0
        return answer

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

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
    ) -> ClientAnswer:
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


def _should_fail_over(answer: ClientAnswer) -> bool:
    if answer.error in (ErrorKind.NOT_READY, ErrorKind.LEAVING):
        return True
    return answer.error is ErrorKind.UNREACHABLE


def _build_unreachable(
    request_id: str, error: BaseException, ran: Ran, attempts: int
) -> ClientAnswer:
    return ClientAnswer(
        request_id,
        0,
        error=ErrorKind.UNREACHABLE,
        message=repr(error),
        ran=ran,
        attempts=attempts,
    )


def _parse_answer(request_id: str, status: int, data: Any, attempts: int) -> ClientAnswer:
    error = data.get("error")
    coverage = data.get("coverage") or {"covered": 0, "total": 0}
    return ClientAnswer(
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

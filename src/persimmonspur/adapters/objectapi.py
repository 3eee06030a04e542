"""The object API and the instance list over HTTP."""

from urllib.parse import quote

import gevent
import msgspec
from expression import Error, Ok, Result
from geventhttpclient import HTTPClient

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.ports import InstanceListing, ListedState, StoredObject

CALL_TIMEOUT_MS = 2_000.0
WATCH_SOCKET_MS = 120_000.0
CONNECTIONS = 6


class _Channel:
    """Connections for one kind of call."""

    def __init__(self, address: str, socket_ms: float) -> None:
        self._address = address
        self._socket_ms = socket_ms
        self.client = self._connect()

    def renew(self) -> None:
        """Replace all connections.

        The client library does not give a connection back when a call is timed out
        while it sends, so after a few such calls none would be left.
        """
        self.client.close()
        self.client = self._connect()

    def _connect(self) -> HTTPClient:
        client = connect_client(self._address, CONNECTIONS, self._socket_ms)
        # The library repeats reads after a cut connection, up to once more than this
        # number. Every call counts towards the rates of the object API, so that is
        # left to callers, which wait before they repeat.
        client._connection_pool.size = -1
        return client


class HttpObjectApi:
    """Implements :class:`persimmonspur.ports.ObjectApi` and ``InstanceList``.

    ``GET /objects/KEY`` returns the value with its version in ``x-version``;
    ``POST`` takes the expected version in ``x-expected-version`` and replaces it;
    ``GET /watch/KEY?after=V&timeout_ms=T`` waits for a later version. Every call
    names its client in ``x-client``. No call raises, and no write is repeated here:
    only its caller can find out whether it took effect.
    """

    def __init__(
        self, address: str, timeout_ms: float = CALL_TIMEOUT_MS, client: str = "persimmonspur"
    ) -> None:
        """Connect lazily.

        :param address: ``ip:port``.
        :param timeout_ms: limit for one call in milliseconds, watches excepted.
        :param client: name under which the object API counts the calls.
        """
        self._headers = {"x-client": client}
        self._timeout_ms = timeout_ms
        self._calls = _Channel(address, timeout_ms)
        self._watches = _Channel(address, WATCH_SOCKET_MS)
        self.calls = 0

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Return the present object, or ``None`` if there is none."""
        called = self._call(self._calls, "GET", f"/objects/{quote(key)}", b"", {}, self._timeout_ms)
        return called.bind(lambda response: _parse_object(key, *response))

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Replace the object if its version is the expected one."""
        headers = {"x-expected-version": str(expected_version)}
        called = self._call(
            self._calls, "POST", f"/objects/{quote(key)}", value, headers, self._timeout_ms
        )
        return called.bind(_parse_written)

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Wait until the object's version exceeds one; ``None`` on timeout."""
        path = f"/watch/{quote(key)}?after={after_version}&timeout_ms={timeout_ms:.0f}"
        limit_ms = timeout_ms + self._timeout_ms
        called = self._call(self._watches, "GET", path, b"", {}, limit_ms)
        return called.bind(lambda response: _parse_object(key, *response))

    def list_instances(self) -> Result[InstanceListing, Failure]:
        """Return the platform's list of instances."""
        called = self._call(self._calls, "GET", "/instances", b"", {}, self._timeout_ms)
        return called.bind(_parse_listing)

    def close(self) -> None:
        """Close all connections."""
        self._calls.client.close()
        self._watches.client.close()

    def _call(
        self,
        channel: _Channel,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_ms: float,
    ) -> Result[tuple[int, int, bytes], Failure]:
        self.calls += 1
        limit = gevent.Timeout(timeout_ms / 1000)
        try:
            with limit:
                # Writes are POST: the client library repeats PUT by itself after a broken
                # connection, and a conditional update must be settled by its caller.
                response = channel.client.request(
                    method, path, body=body, headers=headers | self._headers
                )
                data = bytes(response.read())
                version = int(str(response.get("x-version", "0")))
                return Ok((response.status_code, version, data))
        except gevent.Timeout as error:
            if error is not limit:
                raise
            channel.renew()
            return Error(_describe_call(method, path, f"no answer within {timeout_ms:.0f} ms"))
        except HTTP_ERRORS as error:
            return Error(_describe_call(method, path, repr(error)))


def _describe_call(method: str, path: str, reason: str) -> Failure:
    return Failure.of(ErrorKind.STORE_UNAVAILABLE, f"object API: {method} {path}: {reason}")


def _parse_object(
    key: str, status: int, version: int, data: bytes
) -> Result[StoredObject | None, Failure]:
    if status == 200 and version < 1:
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, f"object API: {key} has no version"))
    if status == 200:
        return Ok(StoredObject(key, version, data))
    if status in (204, 404):
        return Ok(None)
    return Error(_describe_status(status))


def _parse_written(response: tuple[int, int, bytes]) -> Result[int, Failure]:
    status, version, _ = response
    if status == 200 and version > 0:
        return Ok(version)
    if status == 409:
        return Error(Failure.of(ErrorKind.CONFLICT, f"the stored version is {version}"))
    return Error(_describe_status(status))


class _ListingDocument(msgspec.Struct):
    revision: int
    instances: dict[str, ListedState]


def _parse_listing(response: tuple[int, int, bytes]) -> Result[InstanceListing, Failure]:
    status, _, data = response
    if status != 200:
        return Error(_describe_status(status))
    try:
        document = msgspec.json.decode(data, type=_ListingDocument)
    except msgspec.DecodeError as error:
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, f"instance list: {error}"))
    return Ok(InstanceListing(document.revision, document.instances))


def _describe_status(status: int) -> Failure:
    return Failure.of(
        ErrorKind.STORE_UNAVAILABLE, f"object API answered status {status}", Ran.UNKNOWN
    )

"""Object API and instance list client over HTTP."""

from urllib.parse import quote

import gevent
import msgspec
from expression import Error, Ok, Result
from geventhttpclient import HTTPClient

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.ports import InstanceListing, ListedState, StoredObject

CALL_TIMEOUT_MS = 2_000.0
WATCH_SOCKET_TIMEOUT_MS = 120_000.0
MAX_CONNECTIONS = 6


class _RenewableClient:
    """HTTP client for one kind of call, whose connections can be replaced."""

    def __init__(self, address: str, socket_timeout_ms: float) -> None:
        self._address = address
        self._socket_timeout_ms = socket_timeout_ms
        self.http_client = self._connect()

    def reconnect(self) -> None:
        """Replace all connections.

        The client library does not return a connection to its pool if a call times out
        while sending, so a few such calls would exhaust the pool.
        """
        self.http_client.close()
        self.http_client = self._connect()

    def _connect(self) -> HTTPClient:
        client = connect_client(self._address, MAX_CONNECTIONS, self._socket_timeout_ms)
        # After a broken connection the library retries reads up to size + 1 times. Every
        # call counts towards the rate limits of the object API, so retries are left to
        # the callers, which wait first.
        client._connection_pool.size = -1
        return client


class HttpObjectApi:
    """Implements :class:`persimmonspur.ports.ObjectApi` and ``InstanceList``.

    ``GET /objects/KEY`` returns the value with its version in ``x-version``.
    ``POST /objects/KEY`` replaces the value if its version is the one in
    ``x-expected-version``. ``GET /watch/KEY?after=V&timeout_ms=T`` waits for a later
    version. Every request names its client in ``x-client``. Methods never raise and
    never retry a write, because only the caller can find out whether it took effect.

    :ivar calls: number of calls so far.
    """

    def __init__(
        self, address: str, timeout_ms: float = CALL_TIMEOUT_MS, client: str = "persimmonspur"
    ) -> None:
        """Create a client; connections are opened on demand.

        :param address: ``ip:port``.
        :param timeout_ms: timeout of a call in milliseconds; watches wait longer.
        :param client: name under which the object API counts the calls of this client.
        """
        self._headers = {"x-client": client}
        self._timeout_ms = timeout_ms
        self._call_client = _RenewableClient(address, timeout_ms)
        self._watch_client = _RenewableClient(address, WATCH_SOCKET_TIMEOUT_MS)
        self.calls = 0

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Return the current object, or ``None`` if there is none."""
        outcome = self._call(
            self._call_client, "GET", f"/objects/{quote(key)}", b"", {}, self._timeout_ms
        )
        return outcome.bind(lambda response: _parse_object(key, *response))

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Replace the object if its version matches the expected one."""
        headers = {"x-expected-version": str(expected_version)}
        outcome = self._call(
            self._call_client, "POST", f"/objects/{quote(key)}", value, headers, self._timeout_ms
        )
        return outcome.bind(_parse_write_response)

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Wait for a version above ``after_version``; ``None`` on timeout."""
        path = f"/watch/{quote(key)}?after={after_version}&timeout_ms={timeout_ms:.0f}"
        total_timeout_ms = timeout_ms + self._timeout_ms
        outcome = self._call(self._watch_client, "GET", path, b"", {}, total_timeout_ms)
        return outcome.bind(lambda response: _parse_object(key, *response))

    def list_instances(self) -> Result[InstanceListing, Failure]:
        """Return the platform's list of instances."""
        outcome = self._call(self._call_client, "GET", "/instances", b"", {}, self._timeout_ms)
        return outcome.bind(_parse_listing)

    def close(self) -> None:
        """Close all connections."""
        self._call_client.http_client.close()
        self._watch_client.http_client.close()

    def _call(
        self,
        client: _RenewableClient,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_ms: float,
    ) -> Result[tuple[int, int, bytes], Failure]:
        self.calls += 1
        timeout = gevent.Timeout(timeout_ms / 1000)
        try:
            with timeout:
                # Writes use POST because the client library retries PUT by itself after a
                # broken connection. Whether a conditional update took effect must be
                # determined by the caller.
                response = client.http_client.request(
                    method, path, body=body, headers=headers | self._headers
                )
                data = bytes(response.read())
                version = int(str(response.get("x-version", "0")))
                return Ok((response.status_code, version, data))
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            client.reconnect()
            return Error(_build_call_failure(method, path, f"no answer within {timeout_ms:.0f} ms"))
        except HTTP_ERRORS as error:
            return Error(_build_call_failure(method, path, repr(error)))


def _build_call_failure(method: str, path: str, reason: str) -> Failure:
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
    return Error(_build_status_failure(status))


def _parse_write_response(response: tuple[int, int, bytes]) -> Result[int, Failure]:
    status, version, _ = response
    if status == 200 and version > 0:
        return Ok(version)
    if status == 409:
        return Error(Failure.of(ErrorKind.CONFLICT, f"the stored version is {version}"))
    return Error(_build_status_failure(status))


class _ListingDocument(msgspec.Struct):
    revision: int
    instances: dict[str, ListedState]


def _parse_listing(response: tuple[int, int, bytes]) -> Result[InstanceListing, Failure]:
    status, _, data = response
    if status != 200:
        return Error(_build_status_failure(status))
    try:
        document = msgspec.json.decode(data, type=_ListingDocument)
    except msgspec.DecodeError as error:
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, f"instance list: {error}"))
    return Ok(InstanceListing(document.revision, document.instances))


def _build_status_failure(status: int) -> Failure:
    return Failure.of(
        ErrorKind.STORE_UNAVAILABLE, f"object API answered status {status}", Ran.UNKNOWN
    )

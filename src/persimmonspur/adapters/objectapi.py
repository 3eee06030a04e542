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
CONNECTIONS = 6


class HttpObjectApi:
    """Implements :class:`persimmonspur.ports.ObjectApi` and ``InstanceList``.

    ``GET /objects/KEY`` returns the value with its version in ``x-version``;
    ``PUT`` takes the expected version in ``x-expected-version``;
    ``GET /watch/KEY?after=V&timeout_ms=T`` waits for a later version.
    """

    def __init__(self, address: str, timeout_ms: float = CALL_TIMEOUT_MS) -> None:
        """Connect lazily.

        :param address: ``ip:port``.
        :param timeout_ms: limit for one call in milliseconds, watches excepted.
        """
        self._timeout_ms = timeout_ms
        self._client = connect_client(address, CONNECTIONS, timeout_ms)
        self._watch_client = connect_client(address, CONNECTIONS, 120_000.0)
        self.calls = 0

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Return the present object, or ``None`` if there is none."""
        called = self._call(
            self._client, "GET", f"/objects/{quote(key)}", b"", {}, self._timeout_ms
        )
        return called.bind(lambda response: _parse_object(key, *response))

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Replace the object if its version is the expected one."""
        headers = {"x-expected-version": str(expected_version)}
        called = self._call(
            self._client, "PUT", f"/objects/{quote(key)}", value, headers, self._timeout_ms
        )
        return called.bind(_parse_written)

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Wait until the object's version exceeds one; ``None`` on timeout."""
        path = f"/watch/{quote(key)}?after={after_version}&timeout_ms={timeout_ms:.0f}"
        called = self._call(self._watch_client, "GET", path, b"", {}, timeout_ms + 5_000)
        return called.bind(lambda response: _parse_object(key, *response))

    def list_instances(self) -> Result[InstanceListing, Failure]:
        """Return the platform's list of instances."""
        called = self._call(self._client, "GET", "/instances", b"", {}, self._timeout_ms)
        return called.bind(_parse_listing)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
        self._watch_client.close()

    def _call(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_ms: float,
    ) -> Result[tuple[int, int, bytes], Failure]:
        self.calls += 1
        try:
            with gevent.Timeout(timeout_ms / 1000):
                # PUT would be repeated by the client library after a broken
                # connection; a conditional update must be settled by its caller.
                response = client.request(
                    "POST" if method == "PUT" else method, path, body=body, headers=headers
                )
                data = bytes(response.read())
                version = int(str(response.get("x-version", "0")))
                return Ok((response.status_code, version, data))
        except (gevent.Timeout, *HTTP_ERRORS) as error:
            return Error(
                Failure.of(ErrorKind.STORE_UNAVAILABLE, f"object API: {method} {path}: {error!r}")
            )


def _parse_object(
    key: str, status: int, version: int, data: bytes
) -> Result[StoredObject | None, Failure]:
    if status == 200:
        return Ok(StoredObject(key, version, data))
    if status in (204, 404):
        return Ok(None)
    return Error(_describe_status(status))


def _parse_written(response: tuple[int, int, bytes]) -> Result[int, Failure]:
    status, version, _ = response
    if status == 200:
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

"""HTTP interface for callers and operators."""

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any
from urllib.parse import parse_qs

import msgspec
from prometheus_client import generate_latest

from persimmonspur.adapters.http import StartResponse, read_body, respond_json
from persimmonspur.daemon import events
from persimmonspur.daemon.filters.chain import RequestContext, run_chain
from persimmonspur.daemon.instance import Instance
from persimmonspur.daemon.lifecycle import Phase
from persimmonspur.digits import parse_digits
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind, Failure
from persimmonspur.model.configuration import KEY_SPACE_UNITS
from persimmonspur.model.query import Query, QueryAnswer
from persimmonspur.registry import Registry

# How long callers may reuse the addresses that /v1/resolve returned.
ADDRESS_CACHE_MS = 10_000.0
MAX_TIMEOUT_MS = 60_000.0
MAX_BODY_BYTES = 1_000_000

RouteHandler = Callable[[Instance, dict[str, Any], StartResponse], list[bytes]]
ROUTES: Registry[RouteHandler] = Registry("route")


class QueryDocument(msgspec.Struct, rename={"priority_class": "class"}, forbid_unknown_fields=True):
    """Body of ``POST /v1/query``."""

    service: str
    priority_class: str
    timeout_ms: float
    request_id: str
    repeatable: bool = True
    allow_partial: bool = False
    key: int | None = None
    body: Any = None
    limit: int | None = None
    # Sent by older clients and ignored: each attempt is handled on its own.
    epoch: int = 0
    first_attempt: bool = False


class WsgiApplication:
    """WSGI application of one instance."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self.active_requests = 0

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request, which counts as active until its response is written."""
        self.active_requests += 1
        try:
            if self._instance.phase >= Phase.LEAVING:
                start_response = _close_connection(start_response)
            chunks = self._route(environ, start_response)
        except BaseException:
            self.active_requests -= 1
            raise
        return _TrackedResponseBody(chunks, self)

    def _route(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        name = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        length = environ.get("CONTENT_LENGTH") or "0"
        length_bytes = parse_digits(length)
        if length_bytes is None or length_bytes > MAX_BODY_BYTES:
            message = f"content-length: {length}; allowed: at most {MAX_BODY_BYTES} bytes"
            return _respond_invalid(_close_connection(start_response), message)
        if name not in ROUTES:
            read_body(environ)
            known = ", ".join(ROUTES)
            return _respond_invalid(start_response, f"path: {name!r}; allowed: {known}")
        try:
            return ROUTES.get(name)(self._instance, environ, start_response)
        except Exception as error:
            self._instance.timeline.record(events.REQUEST_FAILED, path=name, reason=repr(error))
            failure = Failure.of(ErrorKind.INTERNAL, "internal error; see event PS1006 in the log")
            return _respond_failure(start_response, failure)


@ROUTES.register("POST /v1/query")
def handle_query(
    instance: Instance, environ: dict[str, Any], start_response: StartResponse
) -> list[bytes]:
    """Run a query and respond with its answer."""
    received_ms = instance.clock.now_ms()
    body = read_body(environ)
    try:
        document = msgspec.json.decode(body, type=QueryDocument)
    except msgspec.DecodeError as error:
        return _respond_invalid(start_response, str(error))
    problem = _validate_query(document)
    if problem:
        return _respond_invalid(start_response, problem)
    query = Query(
        document.service,
        document.priority_class,
        document.timeout_ms,
        document.request_id,
        document.repeatable,
        document.allow_partial,
        document.key,
        document.body,
        document.limit,
    )
    answer = run_chain(RequestContext(instance, query, received_ms))
    status, answer_document = render_answer(answer)
    return respond_json(start_response, status, answer_document)


@ROUTES.register("GET /v1/resolve")
def resolve(
    instance: Instance, environ: dict[str, Any], start_response: StartResponse
) -> list[bytes]:
    """Return the addresses of live members in random order."""
    members = instance.cell.list_live_members(instance.clock.now_ms())
    addresses = [member.caller_address for member in members]
    Random(instance.clock.now_ms()).shuffle(addresses)
    document = {
        "addresses": addresses,
        "keep_ms": ADDRESS_CACHE_MS,
        "epoch": instance.cell.table_version,
    }
    return respond_json(start_response, 200, document)


@ROUTES.register("GET /healthz")
def check_health(
    instance: Instance, environ: dict[str, Any], start_response: StartResponse
) -> list[bytes]:
    """Respond with 200 as long as the process runs."""
    return respond_json(start_response, 200, {"instance": instance.settings.instance})


@ROUTES.register("GET /readyz")
def check_readiness(
    instance: Instance, environ: dict[str, Any], start_response: StartResponse
) -> list[bytes]:
    """Respond with 200 if the instance can serve queries, otherwise with 503."""
    document = {
        "ready": instance.ready,
        "configuration_version": instance.configuration_holder.version,
        "table_version": instance.cell.table_version,
        "usable_endpoints": instance.view.count_usable(),
    }
    return respond_json(start_response, 200 if instance.ready else 503, document)


@ROUTES.register("GET /v1/state")
def show_state(
    instance: Instance, environ: dict[str, Any], start_response: StartResponse
) -> list[bytes]:
    """Return the phase, versions, members and endpoints with the reasons for their states."""
    table = instance.cell.table
    endpoints = []
    for description in instance.endpoint_controller.describe():
        status = description.status
        endpoints.append(
            {
                "endpoint": description.name,
                "state": status.state,
                "reason": description.reason,
                "usable": status.usable,
                "running": status.running,
                "queue": status.queue,
                "limit": status.limit,
            }
        )
    document = {
        "instance": instance.settings.instance,
        "phase": instance.phase.name.lower(),
        "configuration_version": instance.configuration_holder.version,
        "table_version": instance.cell.table_version,
        "members": sorted(table.members) if table is not None else [],
        "endpoints": endpoints,
    }
    return respond_json(start_response, 200, document)


@ROUTES.register("GET /v1/timeline")
def list_timeline(
    instance: Instance, environ: dict[str, Any], start_response: StartResponse
) -> list[bytes]:
    """Return recorded events of this process, filtered by the query parameters."""
    query = parse_qs(environ.get("QUERY_STRING", ""))
    request_id = query.get("request_id", [""])[0]
    after_text = query.get("after", ["0"])[0]
    after = parse_digits(after_text)
    if after is None:
        return _respond_invalid(start_response, f"after: {after_text!r}; allowed: a whole number")
    entries = instance.timeline.list_entries(request_id, after)
    return respond_json(start_response, 200, {"entries": entries})


@ROUTES.register("GET /metrics")
def show_metrics(
    instance: Instance, environ: dict[str, Any], start_response: StartResponse
) -> list[bytes]:
    """Return the metrics in the Prometheus text format."""
    data = generate_latest(instance.metrics.registry)
    start_response("200 OK", [("content-type", "text/plain; version=0.0.4; charset=utf-8")])
    return [data]


def render_answer(answer: QueryAnswer) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and the JSON document of an answer."""
    snapshot = answer.snapshot
    document: dict[str, Any] = {
        "request_id": answer.request_id,
        "snapshot": str(snapshot) if snapshot is not None else None,
        "coverage": {"covered": answer.coverage.covered, "total": answer.coverage.total},
        "missing_shards": list(answer.missing_shards),
        "records": answer.records,
        "sub_requests": answer.sub_requests,
    }
    failure = answer.failure
    if failure is None:
        return 200, document
    document["error"] = failure.kind
    document["message"] = failure.message
    document["ran"] = failure.ran
    document["retry_after_ms"] = failure.retry_after_ms
    return ERROR_RESPONSES[failure.kind].status, document


class _TrackedResponseBody:
    """A response body that ends the count of its request when the server closes it."""

    def __init__(self, chunks: list[bytes], wsgi_app: WsgiApplication) -> None:
        self._chunks = chunks
        self._wsgi_app = wsgi_app

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def __len__(self) -> int:
        return len(self._chunks)

    def close(self) -> None:
        """Count the request as finished.

        The server calls this even if the caller has disconnected.
        """
        self._wsgi_app.active_requests -= 1


def _close_connection(start_response: StartResponse) -> StartResponse:
    """Add ``Connection: close``, so that callers don't reuse the connection."""

    def start_and_close(status: str, headers: list[tuple[str, str]]) -> Any:
        return start_response(status, [*headers, ("connection", "close")])

    return start_and_close


def _validate_query(document: QueryDocument) -> str:
    if not 0 < document.timeout_ms <= MAX_TIMEOUT_MS:
        return f"timeout_ms: {document.timeout_ms}; allowed: above 0 and at most {MAX_TIMEOUT_MS}"
    if not 0 < len(document.request_id) <= 128:
        return f"request_id: {document.request_id!r}; allowed: 1 to 128 characters"
    if document.key is not None and not 0 <= document.key < KEY_SPACE_UNITS:
        return f"key: {document.key}; allowed: 0 to {KEY_SPACE_UNITS - 1}"
    if document.limit is not None and document.limit < 1:
        return f"limit: {document.limit}; allowed: 1 or more"
    return ""


def _respond_invalid(start_response: StartResponse, message: str) -> list[bytes]:
    return _respond_failure(start_response, Failure.of(ErrorKind.INVALID_REQUEST, message))


def _respond_failure(start_response: StartResponse, failure: Failure) -> list[bytes]:
    document = {"error": failure.kind, "message": failure.message, "ran": failure.ran}
    return respond_json(start_response, ERROR_RESPONSES[failure.kind].status, document)

"""Error kinds and how each is reported."""

from enum import StrEnum

from attrs import frozen


class Ran(StrEnum):
    """Whether an endpoint executed a request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Kinds of errors in HTTP responses, messages and command-line output."""

    INVALID_REQUEST = "invalid_request"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INCOMPLETE = "incomplete"
    NO_SNAPSHOT = "no_snapshot"
    SNAPSHOT_NOT_HELD = "snapshot_not_held"
    ENDPOINT_UNAVAILABLE = "endpoint_unavailable"
    ENDPOINT_DRAINING = "endpoint_draining"
    ENDPOINT_FAILED = "endpoint_failed"
    NOT_OWNER = "not_owner"
    CANCELLED = "cancelled"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INVALID_CONFIGURATION = "invalid_configuration"
    INVALID_SETTINGS = "invalid_settings"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    STORE_UNAVAILABLE = "store_unavailable"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


@frozen
class ErrorResponse:
    """How an error kind is reported.

    :param status: HTTP status code.
    :param ran: whether the request ran, unless the failure specifies it.
    :param exit_code: exit code of the command-line tool.
    :param retry: whether the same request may succeed later.
    """

    status: int
    ran: Ran
    exit_code: int
    retry: bool


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_REQUEST: ErrorResponse(400, Ran.NO, 2, retry=False),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Ran.NO, 3, retry=False),
    ErrorKind.NOT_READY: ErrorResponse(503, Ran.NO, 4, retry=True),
    ErrorKind.LEAVING: ErrorResponse(503, Ran.NO, 5, retry=True),
    ErrorKind.OVERLOADED: ErrorResponse(429, Ran.NO, 6, retry=True),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, Ran.UNKNOWN, 7, retry=True),
    ErrorKind.INCOMPLETE: ErrorResponse(503, Ran.UNKNOWN, 8, retry=True),
    ErrorKind.NO_SNAPSHOT: ErrorResponse(503, Ran.NO, 9, retry=True),
    ErrorKind.SNAPSHOT_NOT_HELD: ErrorResponse(409, Ran.NO, 10, retry=True),
    ErrorKind.ENDPOINT_UNAVAILABLE: ErrorResponse(503, Ran.NO, 11, retry=True),
    ErrorKind.ENDPOINT_DRAINING: ErrorResponse(503, Ran.NO, 12, retry=True),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, Ran.UNKNOWN, 13, retry=True),
    ErrorKind.NOT_OWNER: ErrorResponse(503, Ran.NO, 14, retry=True),
    ErrorKind.CANCELLED: ErrorResponse(499, Ran.UNKNOWN, 15, retry=False),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, Ran.UNKNOWN, 16, retry=False),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(400, Ran.NO, 18, retry=False),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(400, Ran.NO, 19, retry=False),
    ErrorKind.CONFLICT: ErrorResponse(409, Ran.NO, 20, retry=False),
    ErrorKind.NOT_FOUND: ErrorResponse(404, Ran.NO, 23, retry=False),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, Ran.UNKNOWN, 21, retry=True),
    ErrorKind.UNREACHABLE: ErrorResponse(503, Ran.UNKNOWN, 22, retry=True),
    ErrorKind.INTERNAL: ErrorResponse(500, Ran.UNKNOWN, 1, retry=False),
}


@frozen
class Failure:
    """A failed operation.

    :param kind: error kind.
    :param message: human-readable line that names the invalid field or part and its value.
    :param ran: whether the request ran.
    :param retry_after_ms: suggested delay before a retry in milliseconds, if any.
    """

    kind: ErrorKind
    message: str
    ran: Ran
    retry_after_ms: float | None = None

    @classmethod
    def of(
        cls,
        kind: ErrorKind,
        message: str,
        ran: Ran | None = None,
        retry_after_ms: float | None = None,
    ) -> "Failure":
        """Create a failure with the default ``ran`` value of its kind.

        :param ran: overrides the value of :data:`ERROR_RESPONSES`.
        """
        return cls(
            kind, message, ran if ran is not None else ERROR_RESPONSES[kind].ran, retry_after_ms
        )

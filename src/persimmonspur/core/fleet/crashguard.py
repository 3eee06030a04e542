"""Limits how many endpoints one request can crash.

Answers requests that crash each endpoint that runs them. After a lost connection, the request
is sent to one endpoint at a time until one answers it. An answer shows that the request was
lost in the crash of another, so the rest of it is sent as usual.
"""

from persimmonspur.core.fleet.fingerprint import compute_fingerprint, compute_lifetime_digest
from persimmonspur.core.fleet.messages import ClientRequest
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.quarantine import Quarantine, Standing

# The other instances are told of a request in progress after this many losses without an
# answer, since repetitions may reach them before it ends.
SHARED_LOSSES = 3


class CrashGuard:
    """Decides how many sends of one request may be in progress.

    :ivar quarantined: whether the request must not be sent to any endpoint.
    """

    def __init__(self, quarantine: Quarantine, request: ClientRequest) -> None:
        self._quarantine = quarantine
        self._request = request
        self._fingerprint = ""
        self._answered = False
        self._suspected = False
        self._lost_count = 0
        self._trial: int | None = None
        self.quarantined = False

    def begin(self) -> None:
        """Look up what is known about the request."""
        if self._quarantine.empty:
            return
        standing = self._quarantine.get_standing(self.fingerprint)
        self._suspected = standing is Standing.SUSPECTED
        self.quarantined = standing is Standing.QUARANTINED

    @property
    def suspected(self) -> bool:
        """Whether the request may crash endpoints, as far as is known."""
        return self._suspected and not self._answered

    def may_send(self) -> bool:
        """Return whether another send may be made now."""
        return not self.quarantined and (not self.suspected or self._trial is None)

    def record_sent(self, attempt: int) -> None:
        """Record a send."""
        if self.suspected:
            self._trial = attempt

    def record_ended(self, attempt: int) -> None:
        """Record that a send ended without showing anything about the request."""
        if attempt == self._trial:
            self._trial = None

    def record_lost(self, attempt: Attempt) -> None:
        """Record that the connection of a send was lost before any response."""
        is_trial = attempt.number == self._trial
        self.record_ended(attempt.number)
        if self._answered:
            return
        self._suspected = True
        self._lost_count += 1
        lifetime = compute_lifetime_digest(attempt.endpoint)
        standing = self._quarantine.record_crash(self.fingerprint, lifetime, is_trial)
        self.quarantined = standing is Standing.QUARANTINED
        if self._lost_count == SHARED_LOSSES and not self.quarantined:
            self._quarantine.share(self.fingerprint)

    def record_answered(self) -> None:
        """Record that an endpoint ran the request and lives."""
        if self._suspected and not self._answered:
            self._quarantine.record_answer(self.fingerprint)
        self._answered = True

    def finish(self) -> None:
        """Tell the other instances of crashes if the request is still suspected."""
        if self._lost_count and self.suspected and not self.quarantined:
            self._quarantine.share(self.fingerprint)

    def get_retry_after_ms(self) -> float:
        """Return the time until a quarantined request may be tried again."""
        return self._quarantine.get_remaining_ms(self.fingerprint)

    @property
    def fingerprint(self) -> str:
        """Identifies the request and its repetitions."""
        if not self._fingerprint:
            self._fingerprint = compute_fingerprint(self._request)
        return self._fingerprint

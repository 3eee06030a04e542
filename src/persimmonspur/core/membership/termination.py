"""Reports of ended incarnations, from the platform, an operator or the instance itself."""

from collections.abc import Mapping

from attrs import define

# The instance list is updated with a delay and may omit a live instance temporarily.
OMISSION_TIMEOUT_MS = 60_000.0


@define
class _Omission:
    incarnation: int
    since_ms: float
    until_ms: float


class TerminationReports:
    """Stores reports of ended instances.

    A report applies to the incarnation that was a member when the report arrived.
    A later incarnation under the same name is not affected.
    """

    def __init__(self) -> None:
        self._listed: set[str] = set()
        self._omissions: dict[str, _Omission] = {}
        self._declared: dict[str, int] = {}
        self._announced_ends: dict[str, int] = {}

    def observe_listing(
        self, names: frozenset[str], incarnations: Mapping[str, int], now_ms: float
    ) -> None:
        """Process one result of the instance list.

        :param incarnations: incarnations of the current members by name.
        """
        self._listed |= names
        for name in names:
            self._omissions.pop(name, None)
        for name in self._listed - names:
            incarnation = incarnations.get(name, 0)
            omission = self._omissions.setdefault(name, _Omission(incarnation, now_ms, now_ms))
            omission.until_ms = now_ms

    def observe_declared(self, names: frozenset[str], incarnations: Mapping[str, int]) -> None:
        """Process the names that operators declare as ended."""
        self._declared = {
            name: self._declared.get(name) or incarnations.get(name, 0) for name in names
        }

    def observe_end(self, name: str, incarnation: int) -> None:
        """Record an instance's own announcement that its incarnation has ended."""
        self._announced_ends[name] = max(self._announced_ends.get(name, 0), incarnation)

    def get_announced_end(self, name: str) -> int:
        """Return the highest incarnation of a name that announced its own end; 0 if none."""
        return self._announced_ends.get(name, 0)

    def get_reported_end(self, name: str) -> int:
        """Return the highest incarnation reported as ended by others; 0 if none.

        A name that the instance list omits counts once :data:`OMISSION_TIMEOUT_MS` has passed.
        """
        ended = self._declared.get(name, 0)
        omission = self._omissions.get(name)
        if omission is not None and omission.until_ms - omission.since_ms >= OMISSION_TIMEOUT_MS:
            ended = max(ended, omission.incarnation)
        return ended

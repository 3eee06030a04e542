"""Which incarnations ended, by the platform, an operator or their own last message."""

from collections.abc import Mapping

from attrs import define

# The instance list lags and may omit a live instance for a while.
OMITTED_MS = 60_000.0


@define
class _Omission:
    incarnation: int
    since_ms: float
    until_ms: float


class TerminationLog:
    """Remembers reports of ended instances.

    Each report holds for the incarnation that was a member when it came: a
    later one under the same name runs.
    """

    def __init__(self) -> None:
        self._shown: set[str] = set()
        self._omissions: dict[str, _Omission] = {}
        self._declared: dict[str, int] = {}
        self._ended_incarnations: dict[str, int] = {}

    def observe_listing(
        self, names: frozenset[str], incarnations: Mapping[str, int], now_ms: float
    ) -> None:
        """Take one reading of the instance list.

        :param incarnations: present members by name.
        """
        self._shown |= names
        for name in names:
            self._omissions.pop(name, None)
        for name in self._shown - names:
            incarnation = incarnations.get(name, 0)
            omission = self._omissions.setdefault(name, _Omission(incarnation, now_ms, now_ms))
            omission.until_ms = now_ms

    def observe_declared(self, names: frozenset[str], incarnations: Mapping[str, int]) -> None:
        """Take the names that operators declare to have ended."""
        self._declared = {
            name: self._declared.get(name) or incarnations.get(name, 0) for name in names
        }

    def observe_end(self, name: str, incarnation: int) -> None:
        """Take an instance's own statement that its incarnation has ended."""
        self._ended_incarnations[name] = max(self._ended_incarnations.get(name, 0), incarnation)

    def get_ended_incarnation(self, name: str) -> int:
        """Return the highest incarnation of a name that stated its own end; 0 if none."""
        return self._ended_incarnations.get(name, 0)

    def get_ended(self, name: str) -> int:
        """Return the highest incarnation of a name that was reported as ended; 0 if none."""
        ended = self._declared.get(name, 0)
        omission = self._omissions.get(name)
        if omission is not None and omission.until_ms - omission.since_ms >= OMITTED_MS:
            ended = max(ended, omission.incarnation)
        return ended

"""What the commands that change desired states share."""

from cleo.helpers import argument
from expression import Result

from persimmonspur.cli.store import ChangeCommand
from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.core.configuration.states import TargetKind, set_desired_state
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.configuration import Configuration, DesiredState

KINDS = ", ".join(TargetKind)
TARGET_ARGUMENTS = [argument("kind", KINDS), argument("name", "its name")]

# Two operators who drain different things do not contradict each other, so the
# one who loses the race starts over from the new configuration.
TRIES = 10


class DesiredCommand(ChangeCommand):
    """Changes one desired state."""

    def set_state(self, desired: DesiredState) -> int:
        """Publish the desired state and follow it."""
        kind, name = self.argument("kind"), self.argument("name")
        if kind not in list(TargetKind):
            message = f"kind: {kind!r}; allowed: {KINDS}"
            return self.fail(Failure.of(ErrorKind.INVALID_REQUEST, message))

        def revise(present: Configuration | None) -> Result[Configuration, list[DocumentError]]:
            return set_desired_state(present, TargetKind(kind), name, desired)

        return self.change(revise, tries=TRIES)

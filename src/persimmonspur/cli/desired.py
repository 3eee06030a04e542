"""Base class of the commands that change a desired state."""

from cleo.helpers import argument
from expression import Result

from persimmonspur.cli.store import ChangeCommand
from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.core.configuration.states import TargetKind, set_desired_state
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.configuration import Configuration, DesiredState

TARGET_KINDS = ", ".join(TargetKind)
TARGET_ARGUMENTS = [argument("kind", TARGET_KINDS), argument("name", "name of the target")]

# Changes to different targets do not conflict, so an operator who loses the race
# against another retries on the new configuration.
MAX_ATTEMPTS = 10


class DesiredStateCommand(ChangeCommand):
    """A command that sets the desired state of one target."""

    def set_state(self, desired: DesiredState) -> int:
        """Publish the desired state and wait until it is in effect."""
        kind, name = self.argument("kind"), self.argument("name")
        if kind not in list(TargetKind):
            message = f"kind: {kind!r}; allowed: {TARGET_KINDS}"
            return self.fail(Failure.of(ErrorKind.INVALID_REQUEST, message))

        def revise(current: Configuration | None) -> Result[Configuration, list[DocumentError]]:
            return set_desired_state(current, TargetKind(kind), name, desired)

        return self.change(revise, max_attempts=MAX_ATTEMPTS)

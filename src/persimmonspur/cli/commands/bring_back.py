"""``persimmonspur return``: returns an endpoint, instance or failure domain to service."""

from persimmonspur.cli.desired import TARGET_ARGUMENTS, DesiredStateCommand
from persimmonspur.cli.store import CHANGE_OPTIONS
from persimmonspur.model.configuration import DesiredState


class ReturnCommand(DesiredStateCommand):
    """Sets the desired state of a drained target to serving."""

    name = "return"
    description = "Returns an endpoint, instance or failure domain to service."
    arguments = TARGET_ARGUMENTS
    options = CHANGE_OPTIONS
    help = (
        "Example: <info>persimmonspur return endpoint repair-counter-3"
        " --object-api 10.0.0.5:7300</info>"
    )

    def handle(self) -> int:
        """Run the command."""
        return self.set_state(DesiredState.SERVING)

"""``persimmonspur return``: brings something back into service."""

from persimmonspur.cli.desired import TARGET_ARGUMENTS, DesiredCommand
from persimmonspur.cli.store import CHANGE_OPTIONS
from persimmonspur.model.configuration import DesiredState


class ReturnCommand(DesiredCommand):
    """Brings something back that was drained."""

    name = "return"
    description = "Brings an endpoint, instance or failure domain back into service."
    arguments = TARGET_ARGUMENTS
    options = CHANGE_OPTIONS
    help = (
        "Example: <info>persimmonspur return endpoint repair-counter-3"
        " --object-api 10.0.0.5:7300</info>"
    )

    def handle(self) -> int:
        """Return it."""
        return self.set_state(DesiredState.SERVING)

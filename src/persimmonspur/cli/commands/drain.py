"""``persimmonspur drain``: takes something out of service."""

from cleo.helpers import option

from persimmonspur.cli.desired import TARGET_ARGUMENTS, DesiredCommand
from persimmonspur.cli.store import CHANGE_OPTIONS
from persimmonspur.model.configuration import DesiredState


class DrainCommand(DesiredCommand):
    """Takes an endpoint, an instance or a failure domain out of service."""

    name = "drain"
    description = "Gives an endpoint, instance or failure domain no new work."
    arguments = TARGET_ARGUMENTS
    options = [  # noqa: RUF012
        *CHANGE_OPTIONS,
        option("out", None, "the desired state is out instead of draining", flag=True),
    ]
    help = (
        "Example: <info>persimmonspur drain failure-domain khan-uul"
        " --object-api 10.0.0.5:7300</info>"
    )

    def handle(self) -> int:
        """Drain it."""
        return self.set_state(DesiredState.OUT if self.option("out") else DesiredState.DRAINING)

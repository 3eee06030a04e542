"""``persimmonspur drain``: takes an endpoint, instance or failure domain out of service."""

from cleo.helpers import option

from persimmonspur.cli.desired import TARGET_ARGUMENTS, DesiredStateCommand
from persimmonspur.cli.store import CHANGE_OPTIONS
from persimmonspur.model.configuration import DesiredState


class DrainCommand(DesiredStateCommand):
    """Sets the desired state of a target to draining or out."""

    name = "drain"
    description = "Stops new work for an endpoint, instance or failure domain."
    arguments = TARGET_ARGUMENTS
    options = [  # noqa: RUF012
        *CHANGE_OPTIONS,
        option("out", None, "set the desired state to out instead of draining", flag=True),
    ]
    help = (
        "Example: <info>persimmonspur drain failure-domain khan-uul"
        " --object-api 10.0.0.5:7300</info>"
    )

    def handle(self) -> int:
        """Run the command."""
        return self.set_state(DesiredState.OUT if self.option("out") else DesiredState.DRAINING)

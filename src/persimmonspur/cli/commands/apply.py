"""``persimmonspur apply``: stores a configuration file as the next configuration."""

from cleo.helpers import argument, option
from expression import Ok, Result

from persimmonspur.cli.store import CHANGE_OPTIONS, ChangeCommand, read_configuration_file
from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.configuration import Configuration


class ApplyCommand(ChangeCommand):
    """Shows what a file changes, stores it by a conditional update and waits for the instances."""

    name = "apply"
    description = "Shows what a file changes, stores it and waits until it is in effect."
    arguments = [argument("file", "configuration file in YAML or JSON")]  # noqa: RUF012
    options = [  # noqa: RUF012
        *CHANGE_OPTIONS,
        option("expect", None, "only replace this configuration version", flag=False),
        option("dry-run", None, "show the changes and store nothing", flag=True),
    ]
    help = (
        "Example: <info>persimmonspur apply ulaanbaatar.yaml --object-api 10.0.0.5:7300"
        " --expect 12</info>\n\n"
        "If the reply to the change is lost, run the same command again: it changes nothing"
        " if the file is already stored."
    )

    def handle(self) -> int:
        """Run the command."""
        expect = self.option("expect")
        if expect is not None and not expect.isdigit():
            message = f"--expect: {expect!r}; allowed: a configuration version, for example 12"
            return self.fail(Failure.of(ErrorKind.INVALID_SETTINGS, message))
        result = read_configuration_file(self.argument("file"))
        if result.is_error():
            return self.fail(result.error.failure, result.error.errors)
        file = result.ok

        def revise(current: Configuration | None) -> Result[Configuration, list[DocumentError]]:
            return Ok(file.merge_with(current))

        return self.change(revise, int(expect) if expect is not None else None)

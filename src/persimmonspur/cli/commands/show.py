"""``persimmonspur show``: prints the stored configuration."""

from persimmonspur.cli.store import STORE_OPTIONS, StoreCommand, read_stored_configuration
from persimmonspur.core.configuration.rendering import render_configuration, render_yaml


class ShowCommand(StoreCommand):
    """Prints the stored configuration and its version, as a file that ``apply`` accepts."""

    name = "show"
    description = "Prints the stored configuration as a configuration file."
    options = STORE_OPTIONS
    help = (
        "Example: <info>persimmonspur show --object-api 10.0.0.5:7300 > current.yaml</info>\n\n"
        "The output is a file that apply accepts; the first line contains the version."
    )

    def handle(self) -> int:
        """Run the command."""
        connected = self.connect()
        if connected.is_error():
            return self.fail(connected.error)
        result = read_stored_configuration(connected.ok)
        connected.ok.close()
        if result.is_error():
            return self.fail(result.error)
        root, configuration = result.ok.root, result.ok.configuration
        if self.option("json"):
            content = render_configuration(configuration)
            self.print_json(
                {"version": root.version, "attempt": root.attempt, "configuration": content}
            )
            return 0
        self.print_line(f"# configuration {root.version}")
        self.print_line(render_yaml(configuration).rstrip())
        return 0

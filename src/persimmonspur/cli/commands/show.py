"""``persimmonspur show``: prints the stored configuration."""

from persimmonspur.cli.store import STORE_OPTIONS, StoreCommand, read_stored
from persimmonspur.core.configuration.rendering import render_configuration, render_yaml


class ShowCommand(StoreCommand):
    """Prints the version and the content, which ``apply`` takes as a file."""

    name = "show"
    description = "Prints the stored configuration as an operators' file."
    options = STORE_OPTIONS
    help = (
        "Example: <info>persimmonspur show --object-api 10.0.0.5:7300 > present.yaml</info>\n\n"
        "The output is a file that apply takes; the version is in its first line."
    )

    def handle(self) -> int:
        """Show the configuration."""
        connected = self.connect()
        if connected.is_error():
            return self.fail(connected.error)
        result = read_stored(connected.ok)
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

"""``persimmonspur check``: validates a configuration file."""

from cleo.helpers import argument

from persimmonspur.cli.store import JSON_OPTION, StoreCommand, read_configuration_file


class CheckCommand(StoreCommand):
    """Reads a file and prints every validation error, without accessing the object API."""

    name = "check"
    description = "Validates a configuration file as a whole and lists every error."
    arguments = [argument("file", "configuration file in YAML or JSON")]  # noqa: RUF012
    options = [JSON_OPTION]  # noqa: RUF012
    help = "Example: <info>persimmonspur check ulaanbaatar.yaml</info>"

    def handle(self) -> int:
        """Run the command."""
        path = self.argument("file")
        result = read_configuration_file(path)
        if result.is_error():
            return self.fail(result.error.failure, result.error.errors)
        configuration = result.ok.configuration
        endpoints = sum(len(service.endpoints) for service in configuration.services)
        services = len(configuration.services)
        if self.option("json"):
            self.print_json({"valid": True, "services": services, "endpoints": endpoints})
            return 0
        self.print_line(f"{path} is valid: {services} services, {endpoints} endpoints")
        return 0

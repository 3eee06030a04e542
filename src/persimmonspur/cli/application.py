"""The command-line tool."""

import sys

from cleo.application import Application

from persimmonspur import __version__
from persimmonspur.cli.commands.demo import DemoCommand
from persimmonspur.cli.commands.load import LoadCommand
from persimmonspur.cli.commands.report import ReportCommand


def main() -> int:
    """Run the tool."""
    application = Application("persimmonspur", __version__)
    application.add(DemoCommand())
    application.add(LoadCommand())
    application.add(ReportCommand())
    return int(application.run())


if __name__ == "__main__":
    sys.exit(main())

"""The command-line tool."""

import sys

from cleo.application import Application

from persimmonspur import __version__
from persimmonspur.cli.commands.apply import ApplyCommand
from persimmonspur.cli.commands.bring_back import ReturnCommand
from persimmonspur.cli.commands.check import CheckCommand
from persimmonspur.cli.commands.config_check import ConfigCheckCommand
from persimmonspur.cli.commands.demo import DemoCommand
from persimmonspur.cli.commands.drain import DrainCommand
from persimmonspur.cli.commands.events import EventsCommand
from persimmonspur.cli.commands.load import LoadCommand
from persimmonspur.cli.commands.query import QueryCommand
from persimmonspur.cli.commands.report import ReportCommand
from persimmonspur.cli.commands.show import ShowCommand
from persimmonspur.cli.commands.status import StatusCommand
from persimmonspur.cli.commands.timeline import TimelineCommand


def main() -> int:
    """Run the command-line tool and return its exit code."""
    application = Application("persimmonspur", __version__)
    application.add(DemoCommand())
    application.add(CheckCommand())
    application.add(ConfigCheckCommand())
    application.add(ApplyCommand())
    application.add(ShowCommand())
    application.add(StatusCommand())
    application.add(DrainCommand())
    application.add(ReturnCommand())
    application.add(LoadCommand())
    application.add(ReportCommand())
    application.add(QueryCommand())
    application.add(TimelineCommand())
    application.add(EventsCommand())
    return int(application.run())


if __name__ == "__main__":
    sys.exit(main())

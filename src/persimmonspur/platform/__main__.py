"""Starts the service on the platform.

SIGHUP is ignored until its handler is installed: it announces new settings, which are read at
the start anyway, and would end the process while its modules are loaded.
"""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from persimmonspur.platform.run import main  # noqa: E402

sys.exit(main())

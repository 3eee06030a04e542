"""Notices that the settings file changed, with or without a signal."""

import attrs

from persimmonspur.entry import events
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.platform.settings import EntrySettings, load_entry_settings


class SettingsReloader:
    """Reads the settings file again and reports what changed.

    No setting that may change during a lifetime needs a restart or cuts a request: the
    retry budget is replaced in place, addresses and names take effect at the next start.
    """

    def __init__(self, path: str, settings: EntrySettings, log: EventLog) -> None:
        """Compare with the settings in effect.

        :param path: of the settings file.
        """
        self._path = path
        self._settings = settings
        self._log = log
        self._unreadable = ""

    def load_changes(self) -> EntrySettings | None:
        """Read the file.

        :returns: the new settings if any changed; ``None`` also if it is unreadable.
        """
        loaded = load_entry_settings(self._path)
        if loaded.is_error():
            if loaded.error.message != self._unreadable:
                self._unreadable = loaded.error.message
                self._log.record(events.SETTINGS_UNREADABLE, reason=self._unreadable)
            return None
        self._unreadable = ""
        if loaded.ok == self._settings:
            return None
        changed = _list_changes(self._settings, loaded.ok)
        self._settings = loaded.ok
        self._log.record(events.SETTINGS_RELOADED, changed=changed)
        return loaded.ok


def _list_changes(before: EntrySettings, after: EntrySettings) -> list[str]:
    changed = []
    for attribute in attrs.fields(EntrySettings):
        if getattr(before, attribute.name) != getattr(after, attribute.name):
            changed.append(attribute.name)
    return changed

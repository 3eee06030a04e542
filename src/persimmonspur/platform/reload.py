"""Detects changes to the settings file, with or without a signal."""

import attrs

from persimmonspur.entry import events
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.platform.settings import EntrySettings, load_entry_settings


class SettingsReloader:
    """Reloads the settings file and logs which settings changed.

    A reload never restarts the process or interrupts a request: the limits of the retry
    budget are replaced in place; addresses and names take effect at the next start.
    """

    def __init__(self, path: str, settings: EntrySettings, log: EventLog) -> None:
        """Start from the settings that were loaded at startup.

        :param path: path of the settings file.
        """
        self._path = path
        self._settings = settings
        self._log = log
        self._last_error = ""

    def load_changes(self) -> EntrySettings | None:
        """Load the file and compare it with the last loaded settings.

        An error is logged once, until the file is readable or the error changes.

        :returns: the new settings, or ``None`` if the file is unchanged or invalid.
        """
        loaded = load_entry_settings(self._path)
        if loaded.is_error():
            if loaded.error.message != self._last_error:
                self._last_error = loaded.error.message
                self._log.record(events.SETTINGS_UNREADABLE, reason=self._last_error)
            return None
        self._last_error = ""
        if loaded.ok == self._settings:
            return None
        changed = _list_changed_fields(self._settings, loaded.ok)
        self._settings = loaded.ok
        self._log.record(events.SETTINGS_RELOADED, changed=changed)
        return loaded.ok


def _list_changed_fields(before: EntrySettings, after: EntrySettings) -> list[str]:
    changed = []
    for attribute in attrs.fields(EntrySettings):
        if getattr(before, attribute.name) != getattr(after, attribute.name):
            changed.append(attribute.name)
    return changed

import json

from test_settings import DOCUMENT

from persimmonspur.platform.reload import SettingsReloader
from persimmonspur.platform.settings import load_entry_settings


class Log:
    def __init__(self):
        self.lines = []

    def record(self, event, **fields):
        self.lines.append((event.name, fields))


def make_watch(path):
    path.write_text(json.dumps(DOCUMENT))
    log = Log()
    return SettingsReloader(str(path), load_entry_settings(str(path)).ok, log), log


def test_change_is_noticed_once(tmp_path):
    # Guards against a settings file that changes without a signal and stays unread.
    path = tmp_path / "settings.json"
    watch, log = make_watch(path)
    assert watch.load_changes() is None
    bounds = DOCUMENT["bounds"] | {"retry_slack": 50}
    path.write_text(json.dumps(DOCUMENT | {"bounds": bounds}))
    assert watch.load_changes().retry_slack == 50
    assert watch.load_changes() is None
    assert log.lines == [("settings_reloaded", {"changed": ["retry_slack"]})]


def test_broken_file_keeps_the_settings_and_is_said_once(tmp_path):
    path = tmp_path / "settings.json"
    watch, log = make_watch(path)
    path.write_text("{")
    assert watch.load_changes() is None
    assert watch.load_changes() is None
    assert [name for name, _ in log.lines] == ["settings_unreadable"]
    path.write_text(json.dumps(DOCUMENT))
    assert watch.load_changes() is None

import json

from test_settings import DOCUMENT

from persimmonspur.platform.reload import SettingsReloader
from persimmonspur.platform.settings import load_entry_settings


class FakeLog:
    def __init__(self):
        self.lines = []

    def record(self, event, **fields):
        self.lines.append((event.name, fields))


def make_reloader(path):
    path.write_text(json.dumps(DOCUMENT))
    log = FakeLog()
    return SettingsReloader(str(path), load_entry_settings(str(path)).ok, log), log


def test_change_is_reported_once(tmp_path):
    # Guards against ignoring a settings file that changes without a signal.
    path = tmp_path / "settings.json"
    reloader, log = make_reloader(path)
    assert reloader.load_changes() is None
    bounds = DOCUMENT["bounds"] | {"retry_slack": 50}
    path.write_text(json.dumps(DOCUMENT | {"bounds": bounds}))
    assert reloader.load_changes().retry_slack == 50
    assert reloader.load_changes() is None
    assert log.lines == [("settings_reloaded", {"changed": ["retry_slack"]})]


def test_invalid_file_keeps_the_settings_and_is_logged_once(tmp_path):
    path = tmp_path / "settings.json"
    reloader, log = make_reloader(path)
    path.write_text("{")
    assert reloader.load_changes() is None
    assert reloader.load_changes() is None
    assert [name for name, _ in log.lines] == ["settings_unreadable"]
    path.write_text(json.dumps(DOCUMENT))
    assert reloader.load_changes() is None

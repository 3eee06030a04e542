import json

import pytest

from persimmonspur.platform.settings import load_entry_settings

DOCUMENT = {
    "node": "front-a-1",
    "role": "entry",
    "ip": "10.1.0.39",
    "zone": "zone-a",
    "region": "region",
    "listen": {
        "front": "10.1.0.39:8226",
        "ready": "10.1.0.39:8227",
        "control": None,
        "directory": "10.1.0.39:8225",
    },
    "port_range": [7740, 7755],
    "platform": {"addr": "10.200.1.7:8229", "form": "objects"},
    "bounds": {"drain_ms": 3000, "grace_s": 6, "retry_ratio": 0.2, "retry_slack": 113},
    "limits": {"cpu_share": 0.7, "cores": 2, "link_mbps": 350.0},
    "a_new_field": [1, 2, 3],
}


def load(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return load_entry_settings(str(path))


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    settings = load(tmp_path, DOCUMENT).ok
    assert settings.instance == "front-a-1"
    assert settings.peer_address == "10.1.0.39:7740"
    assert settings.shutdown_ms == 6_000
    assert settings.retry_slack == 113
    assert settings.cores == 1.4
    assert settings.link_mbps == 350.0


@pytest.mark.parametrize("missing", ["node", "listen", "platform", "port_range"])
def test_missing_field_is_named(tmp_path, missing):
    document = {key: value for key, value in DOCUMENT.items() if key != missing}
    failure = load(tmp_path, document).error
    assert missing in failure.message


def test_missing_address_is_an_error(tmp_path):
    document = DOCUMENT | {"listen": {"ready": "10.0.0.1:1"}}
    assert load(tmp_path, document).is_error()


def test_invalid_file_is_an_error(tmp_path):
    assert load(tmp_path, "{").is_error()
    assert load_entry_settings(str(tmp_path / "absent")).is_error()


def test_all_errors_are_listed_at_once(tmp_path):
    # Guards against reporting one error per start, so that operators fix them one by one.
    document = {name: value for name, value in DOCUMENT.items() if name != "zone"}
    document |= {"port_range": "7740", "bounds": {"grace_s": "long"}}
    message = load(tmp_path, document).error.message
    assert "zone: missing" in message
    assert "port_range: " in message
    assert "bounds: " in message

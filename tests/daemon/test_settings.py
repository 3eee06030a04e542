"""Tests that invalid settings are all reported at once, before the daemon starts."""

from persimmonspur.daemon.settings import load_settings

VALID_FLAGS = {
    "instance": "entry-1",
    "failure-domain": "howrah-a",
    "caller-address": "127.0.0.1:7400",
    "peer-address": "127.0.0.1:7401",
    "object-api": "127.0.0.1:7402",
}


def test_flags_take_precedence_over_environment():
    loaded = load_settings(
        VALID_FLAGS, {"PERSIMMONSPUR_INSTANCE": "other", "PERSIMMONSPUR_SEED": "7"}
    )
    assert loaded.ok.instance == "entry-1"
    assert loaded.ok.seed == 7


def test_every_invalid_setting_is_reported_with_source_value_and_allowed_values():
    flags = {**VALID_FLAGS, "instance": "Entry 1", "peer-address": "localhost:1"}
    del flags["object-api"]
    loaded = load_settings(flags, {"PERSIMMONSPUR_CONCURRENCY": "0"})
    messages = [failure.message for failure in loaded.error]
    assert len(messages) == 4
    assert any(m.startswith("--instance: 'Entry 1'; allowed: lower-case") for m in messages)
    assert any(m.startswith("--peer-address: 'localhost:1'; allowed: ip:port") for m in messages)
    assert any("PERSIMMONSPUR_OBJECT_API: missing" in m for m in messages)
    assert any(m.startswith("PERSIMMONSPUR_CONCURRENCY: '0'") for m in messages)


def test_address_parts_are_checked():
    for address in ("256.0.0.1:80", "127.0.0.1:70000", "127.0.0.1", ":80"):
        assert load_settings({**VALID_FLAGS, "caller-address": address}, {}).is_error(), address

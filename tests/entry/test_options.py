from persimmonspur.entry.options import EntryOptions, read_options


def test_empty_environment_gives_the_defaults():
    assert read_options({}).ok == EntryOptions("", "INFO")


def test_all_errors_in_the_environment_are_listed():
    # Guards against an invalid metrics address that is detected only after the start.
    environment = {"PERSIMMONSPUR_METRICS_ADDRESS": "9464", "PERSIMMONSPUR_LOG_LEVEL": "LOUD"}
    message = read_options(environment).error.message
    assert "PERSIMMONSPUR_METRICS_ADDRESS: '9464'" in message
    assert "PERSIMMONSPUR_LOG_LEVEL: 'LOUD'" in message

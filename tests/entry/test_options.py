from persimmonspur.entry.options import EntryOptions, read_options


def test_defaults_need_no_environment():
    assert read_options({}).ok == EntryOptions("", "INFO")


def test_all_faults_of_the_environment_are_listed():
    # Guards against a metrics address that fails only once the instance serves.
    environment = {"PERSIMMONSPUR_METRICS_ADDRESS": "9464", "PERSIMMONSPUR_LOG_LEVEL": "LOUD"}
    message = read_options(environment).error.message
    assert "PERSIMMONSPUR_METRICS_ADDRESS: '9464'" in message
    assert "PERSIMMONSPUR_LOG_LEVEL: 'LOUD'" in message

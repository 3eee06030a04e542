"""Fake ports for tests of the daemon without sockets."""

from expression import Error, Ok

from persimmonspur.clock import ManualClock
from persimmonspur.daemon.instance import Instance
from persimmonspur.daemon.settings import load_settings
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.ports import InstanceListing, StoredObject


class FakeObjectApi:
    """In-memory object API that never fails."""

    def __init__(self):
        self.objects = {}

    def read(self, key):
        return Ok(self.objects.get(key))

    def write(self, key, value, expected_version):
        current_version = self.objects[key].version if key in self.objects else 0
        if current_version != expected_version:
            return Error(Failure.of(ErrorKind.CONFLICT, "conflict"))
        self.objects[key] = StoredObject(key, current_version + 1, value)
        return Ok(current_version + 1)

    def watch(self, key, after_version, timeout_ms):
        stored = self.objects.get(key)
        return Ok(stored if stored and stored.version > after_version else None)

    def list_instances(self):
        return Ok(InstanceListing(1, {}))


def build_instance(**flags):
    """Build an instance on fake ports, without controllers."""
    values = {
        "instance": "entry-1",
        "failure-domain": "howrah-a",
        "caller-address": "127.0.0.1:7400",
        "peer-address": "127.0.0.1:7401",
        "object-api": "127.0.0.1:7402",
        **flags,
    }
    api = FakeObjectApi()
    return Instance(load_settings(values, {}).ok, ManualClock(), 1, api, api, None)

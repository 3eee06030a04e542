"""Checks that each variant of the HTTP benchmark uses the server that its name says."""

import pytest
from gevent.pywsgi import WSGIServer

from persimmonspur.adapters.http import NoDelayServer
from persimmonspur.capacity import http_path
from persimmonspur.capacity.http_path import VARIANTS, measure_variant


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.name)
def test_each_variant_uses_the_server_it_names(variant, monkeypatch):
    servers_used = []

    def record(server_class):
        def build(*arguments, **options):
            servers_used.append(server_class)
            return server_class(*arguments, **options)

        return build

    monkeypatch.setattr(http_path, "NoDelayServer", record(NoDelayServer))
    monkeypatch.setattr(http_path, "WSGIServer", record(WSGIServer))
    result = measure_variant(variant, seconds=0.1)
    assert servers_used == [NoDelayServer if variant.server_no_delay else WSGIServer]
    assert result.requests_per_s > 0
    assert result.errors == 0

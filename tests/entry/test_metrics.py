from persimmonspur.entry.metrics import EntryMetrics, format_metrics


def test_metrics_use_the_prometheus_text_format():
    metrics = EntryMetrics()
    metrics.count_request("gather", 1, "complete", 0.03)
    metrics.count_request("gather", 1, "partial", 7.0)
    metrics.count_send("hedge")
    metrics.count_store_call("endpoints", "failed")
    metrics.add_gauge("persimmonspur_x", "A value", "part", lambda: {"a": 2.0})
    text = format_metrics(metrics).decode()
    assert 'persimmonspur_requests_total{outcome="partial",priority="1",shape="gather"} 1.0' in text
    assert 'persimmonspur_request_duration_seconds_bucket{le="0.05",shape="gather"} 1.0' in text
    assert 'persimmonspur_request_duration_seconds_count{shape="gather"} 2.0' in text
    assert 'persimmonspur_endpoint_sends_total{kind="hedge"} 1.0' in text
    assert 'persimmonspur_store_calls_total{feed="endpoints",result="failed"} 1.0' in text
    assert 'persimmonspur_x{part="a"} 2.0' in text

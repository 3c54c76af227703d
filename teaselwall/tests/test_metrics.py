from teaselwall import metrics


def test_text_has_counters_and_quantiles():
    kept = metrics.Metrics()
    kept.count("requests", 2, service="a")
    kept.observe_ms("stage", 3, service="a")
    text = kept.text().decode()
    assert 'teaselwall_requests_total{service="a"} 2.0' in text
    assert 'teaselwall_stage_ms{quantile="0.5",service="a"} 3' in text


def test_names_from_outside_cannot_grow_memory():
    kept = metrics.Metrics()
    for index in range(3 * metrics.MAX_SERIES):
        kept.observe_ms("organisation_request", 1, organisation=f"o{index}")
    assert len(kept.histograms) <= metrics.MAX_SERIES + 1
    series = kept.histograms[("organisation_request", (("organisation", "other"),))]
    assert series.get_total_count() == 2 * metrics.MAX_SERIES

from teaselwall import metrics


def test_text_has_counters_and_quantiles():
    recorded = metrics.Metrics()
    recorded.count("requests", 2, service="a")
    recorded.observe_ms("stage", 3, service="a")
    text = recorded.text().decode()
    assert 'teaselwall_requests_total{service="a"} 2.0' in text
    assert 'teaselwall_stage_ms{quantile="0.5",service="a"} 3' in text


def test_label_values_of_callers_cannot_add_series_without_limit():
    recorded = metrics.Metrics()
    for index in range(3 * metrics.MAX_SERIES):
        recorded.observe_ms("organisation_request", 1, organisation=f"o{index}")
    assert len(recorded.histograms) <= metrics.MAX_SERIES + 1
    series = recorded.histograms[("organisation_request", (("organisation", "other"),))]
    assert series.get_total_count() == 2 * metrics.MAX_SERIES

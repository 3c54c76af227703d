"""Generate docs/CAPACITY.md from build/bench.json: ``make capacity``.

The template is ``docs/capacity.template.md``. Names in double braces are replaced
by measured figures and by values computed from them, so that the page always agrees
with the measurement.
"""

import math
import pathlib
import re
import statistics
import sys

from teaselwall.tools import bench

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "docs" / "capacity.template.md"
PAGE = ROOT / "docs" / "CAPACITY.md"
PLACEHOLDER = re.compile(r"\{\{([a-z0-9_]+)\}\}")

N_ENTRY_HOSTS = 450
N_SERVERS = 10_000
REQUESTS_PER_S = 36_000
TOKENS_PER_S = 11_000_000
NON_IDEMPOTENT_SHARE = 0.02
CHANGES_PER_DAY = 22_000
SECONDS_PER_DAY = 86_400
N_WRITERS = 32
N_ERAS_OF_KEYS = 3
MEMORY_BUDGET_BYTES = 128 * 2**20
US_PER_S = 1e6
N_MEMBERS = (8, 50, 150, 450)
N_KEYS_BY_LABEL = {"1k": 1_000, "10k": 10_000, "100k": 100_000}
N_ORGANISATIONS_BY_SUFFIX = {
    "": 5,
    "_2000_organisations": 2_000,
    "_16000_organisations": 16_000,
}


class Fit:
    """Least-squares line through measured points.

    Attributes
    ----------
    slope, intercept : float
    error_percent : float
        Largest vertical distance of a point from the line, in percent of the
        point's value.
    """

    __slots__ = ("slope", "intercept", "error_percent")

    def __init__(self, points):
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        self.slope, self.intercept = statistics.linear_regression(xs, ys)
        distances = [abs(self.at(x) - y) / y for x, y in points if y]
        self.error_percent = 100 * max(distances)

    def at(self, x):
        """Return the line's value at ``x``."""
        return self.slope * x + self.intercept


def values(measured):
    """Return all values that the page's template may name, by name.

    Parameters
    ----------
    measured : dict of str to float
        The benchmark's values.

    Returns
    -------
    dict of str to float
        The measured values and those computed from them.
    """
    result = dict(measured)
    result |= _token_values(measured)
    result |= _claim_values(measured)
    result |= _membership_values(measured)
    result |= _configuration_values(measured)
    return result


def _token_values(measured):
    host_tokens_per_s = TOKENS_PER_S / N_ENTRY_HOSTS
    result = {"node_tokens_per_s": host_tokens_per_s}
    result["node_requests_per_s"] = REQUESTS_PER_S / N_ENTRY_HOSTS
    cost_us = measured.get("relay_cpu_us_per_token")
    if cost_us:
        result["node_token_cores"] = host_tokens_per_s * cost_us / US_PER_S
        result["relay_factor"] = cost_us / 41
    process_requests_per_s = measured.get("requests_per_s_per_process")
    if process_requests_per_s:
        result["node_request_processes"] = (
            result["node_requests_per_s"] / process_requests_per_s
        )
    return result


def _claim_values(measured):
    claims_per_s = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE
    result = {"claims_per_s": claims_per_s, "n_writers": N_WRITERS}
    result["claims_per_s_per_writer"] = claims_per_s / N_WRITERS
    key_bytes = measured.get("claim_memory_bytes_per_key")
    if key_bytes:
        n_keys = MEMORY_BUDGET_BYTES / 2 / key_bytes
        result["keys_per_writer"] = n_keys
        era_s = n_keys / result["claims_per_s_per_writer"] / N_ERAS_OF_KEYS
        result["era_minutes"] = era_s / 60
    points = _points(measured, "claim_owner_recovery_ms_{}", N_KEYS_BY_LABEL)
    if len(points) > 2:
        fit = Fit(points)
        result["recovery_us_per_key"] = 1000 * fit.slope
        result["recovery_fit_error_percent"] = fit.error_percent
        if key_bytes:
            result["recovery_planned_ms"] = fit.at(result["keys_per_writer"])
    return result


def _membership_values(measured):
    result = {}
    sizes = {str(size): size for size in N_MEMBERS}
    for unit in ("bytes_per_s", "cpu_percent", "death_seen_s"):
        points = _points(measured, f"membership_{unit}_{{}}", sizes)
        if len(points) > 2:
            fit = Fit(points[1:])
            result[f"membership_{unit}_slope"] = fit.slope
            result[f"membership_{unit}_fit_error_percent"] = fit.error_percent
    return result


def _configuration_values(measured):
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    result = {"changes_per_s": changes_per_s}
    points = _points(measured, "config_cpu_us_per_change{}", N_ORGANISATIONS_BY_SUFFIX)
    if len(points) > 2:
        fit = Fit(points)
        result["change_us_per_1000_organisations"] = 1000 * fit.slope
        result["change_fit_error_percent"] = fit.error_percent
        cost_us = fit.at(16_000)
        result["change_cpu_percent"] = 100 * cost_us * changes_per_s / US_PER_S
    n_bytes = measured.get("config_bytes_per_change")
    if n_bytes:
        result["change_bytes_per_s"] = n_bytes * changes_per_s
    return result


def _points(measured, pattern, sizes):
    points = []
    for label, size in sizes.items():
        value = measured.get(pattern.format(label))
        if value is not None:
            points.append((size, value))
    return points


def show(value):
    """Return a number with three significant digits, or a note if it is None."""
    if value is None:
        return "not measured"
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{min(digits, 4)}f}"


def render(template, values_by_name):
    """Return the template with every name in braces replaced by its value.

    Parameters
    ----------
    template : str
    values_by_name : dict of str to float
    """
    return PLACEHOLDER.sub(
        lambda match: show(values_by_name.get(match.group(1))), template
    )


def main():
    """Write the page from the figures in ``build/bench.json``."""
    measured = {name: row["value"] for name, row in bench.read().items()}
    if not measured:
        print("There is no build/bench.json; run 'make bench' first.")
        return 2
    PAGE.write_text(render(TEMPLATE.read_text(), values(measured)))
    print(f"{PAGE.relative_to(ROOT)} is written.")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Benchmark of roll-outs: which bad versions are caught, and which good ones aren't.

``N_GOOD`` and ``N_BAD`` random histories are played against the decider; the table
lists the bad ones by kind and moment and the good ones by trouble. To play other
seeds: ``python -m teaselwall.tools.bench_rollouts FIRST_SEED N_GOOD N_BAD``.
"""

import collections
import statistics
import sys

from teaselwall import rolloutdecisions
from teaselwall.tools import rollout_histories

N_GOOD = 450
N_BAD = 560


def measure():
    """Play the histories, print the table and return the figures."""
    return play(0, N_GOOD, N_BAD)


def play(first_seed, n_good, n_bad):
    """Play histories from a seed on; see ``measure``."""
    good, bad = collections.defaultdict(list), collections.defaultdict(list)
    for case in rollout_histories.cases(first_seed, n_good, n_bad):
        result = rollout_histories.History(case).play()
        if case.kind is None:
            in_time = result.state == rolloutdecisions.COMPLETED
            good[case.trouble].append(in_time and result.end_ms <= case.duration_ms)
        else:
            bad[f"{case.kind} {case.moment}"].append(result)
            if not result.keeps_exposure():
                print(f"  beyond the bounds: {_described(case, result)}")
    _print_bad(bad)
    _print_good(good)
    results = [result for rows in bad.values() for result in rows]
    completed = [is_completed for rows in good.values() for is_completed in rows]
    due = [r for r in results if r.fiftieth_ms is not None or _is_caught(r)]
    return {
        "rollouts_beyond_bounds": (
            sum(not result.keeps_exposure() for result in results),
            f"of {len(results)}",
            0,
        ),
        "rollouts_bad_caught": (sum(map(_is_caught, results)), f"of {len(results)}"),
        "rollouts_bad_of_50_answers_caught": (
            sum(map(_is_caught, due)),
            f"of {len(due)}",
            len(due),
        ),
        "rollouts_good_not_completed": (
            completed.count(False),
            f"of {len(completed)}",
            0,
        ),
    }


def _is_caught(result):
    return result.state == rolloutdecisions.ROLLED_BACK


def _described(case, result):
    return (
        f"{case.kind} {case.moment}, {case.trouble}, {case.rate:.0f}/s, "
        f"{case.duration_ms / 1000:.0f} s, {case.n_old} servers, portion "
        f"{case.portion:.2f}, x{case.factor:.1f}, spread {case.sigma:.2f}: "
        f"{result.state} ({result.reason}), {result.n_exposed} of "
        f"{result.n_requests}, {result.n_bad} bad, 50th at {result.fiftieth_ms}, "
        f"last at {result.last_sent_ms} ms"
    )


def _print_bad(bad):
    print(
        f"  {'bad version':24}{'caught':>10}{'bad answers':>16}{'ms':>16}"
        f"{'share':>8}{'beyond':>8}   (median, worst; share: worst)"
    )
    for name, results in sorted(bad.items()):
        caught = [result for result in results if _is_caught(result)]
        n_bad = [result.n_bad for result in caught]
        ms = [r.end_ms - r.bad_ms for r in caught if r.bad_ms is not None]
        share = max(r.n_exposed / max(r.n_requests, 1) for r in results)
        beyond = sum(not result.keeps_exposure() for result in results)
        print(
            f"  {name:24}{len(caught):>5}/{len(results):<4}{_spread(n_bad):>16}"
            f"{_spread(ms):>16}{share:>8.3f}{beyond:>8}"
        )


def _spread(values):
    if not values:
        return "-"
    return f"{statistics.median(values):.0f}, {max(values):.0f}"


def _print_good(good):
    print(f"  {'good version beside':28}{'completed':>10}{'not':>6}")
    for trouble, completed in good.items():
        n_completed = sum(completed)
        print(
            f"  {trouble:28}{n_completed:>5}/{len(completed):<4}"
            f"{len(completed) - n_completed:>6}"
        )


if __name__ == "__main__":
    for name, row in play(*map(int, sys.argv[1:])).items():
        print(f"  {name:40}{row[0]:>6} {row[1]}")

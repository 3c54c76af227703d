"""Benchmark runner: ``python -m teaselwall.tools.bench [TOPIC ...]``.

Runs each topic, prints a table of its figures and merges them into
``build/bench.json``, which maps each figure's name to its value, unit and target.
A figure that misses its target doesn't fail the run.
"""

import importlib
import json
import pathlib
import platform
import sys
import time

import msgspec

TOPICS = (
    "relay",
    "idle",
    "membership",
    "claims",
    "attempts",
    "routing",
    "balance",
    "duties",
    "configuration",
    "failures",
    "stages",
    "hardload",
    "rollouts",
)
RESULT_FILE = pathlib.Path("build/bench.json")


class Figure(msgspec.Struct):
    """One measured value.

    Attributes
    ----------
    value : float
    unit : str
    target : float or None
        Printed beside the value. None where no target is set.
    """

    value: float
    unit: str
    target: float | None = None


def run(topics):
    """Run topics, print their figures and merge them into the result file.

    Parameters
    ----------
    topics : sequence of str

    Returns
    -------
    dict of str to Figure
        Figures of these topics, by name.
    """
    measured = {}
    for topic in topics:
        started_s = time.monotonic()
        module = importlib.import_module(f"teaselwall.tools.bench_{topic}")
        figures = {name: Figure(*row) for name, row in module.measure().items()}
        elapsed_s = time.monotonic() - started_s
        print_table(topic, figures, elapsed_s)
        measured |= figures
        write(figures)
    return measured


def print_table(topic, figures, elapsed_s):
    """Print the figures of one topic."""
    print(f"\n{topic} ({elapsed_s:.0f} s)")
    for name, figure in figures.items():
        target = "" if figure.target is None else f"target {figure.target:g}"
        print(f"  {name:52}{figure.value:14.3f} {figure.unit:12}{target}", flush=True)


def write(figures):
    """Write figures to the result file; figures of other names stay in it."""
    RESULT_FILE.parent.mkdir(parents=True, exist_ok=True)
    stored = read()
    stored |= {name: msgspec.structs.asdict(figure) for name, figure in figures.items()}
    stored["python_version"] = {
        "value": float(".".join(platform.python_version_tuple()[:2])),
        "unit": "",
        "target": None,
    }
    RESULT_FILE.write_text(json.dumps(stored, indent=1, sort_keys=True) + "\n")


def read():
    """Return the result file's figures by name, or an empty map without a file."""
    if not RESULT_FILE.exists():
        return {}
    return json.loads(RESULT_FILE.read_text())


def main():
    """Run the topics given on the command line, or all topics."""
    topics = sys.argv[1:] or TOPICS
    unknown = set(topics) - set(TOPICS)
    if unknown:
        print(f"Unknown topic {sorted(unknown)}; choose from {', '.join(TOPICS)}.")
        return 2
    run(topics)
    return 0


if __name__ == "__main__":
    sys.exit(main())

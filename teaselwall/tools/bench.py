"""The benchmark: ``python -m teaselwall.tools.bench [TOPIC ...]``.

Runs each topic, prints a table and writes ``build/bench.json``, a map of name to
value, unit and target. It never fails on a figure.
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
    "duties",
    "configuration",
    "failures",
    "stages",
)
RESULT = pathlib.Path("build/bench.json")


class Figure(msgspec.Struct):
    """One measured value.

    Attributes
    ----------
    value : float
    unit : str
    target : float or None
    """

    value: float
    unit: str
    target: float | None = None


def run(topics):
    """Measure topics and merge their figures into the result file.

    Parameters
    ----------
    topics : sequence of str

    Returns
    -------
    dict of str to Figure
        Of these topics.
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
    """Merge figures into the result file."""
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    kept = read()
    kept |= {name: msgspec.structs.asdict(figure) for name, figure in figures.items()}
    kept["python_version"] = {
        "value": float(".".join(platform.python_version_tuple()[:2])),
        "unit": "",
        "target": None,
    }
    RESULT.write_text(json.dumps(kept, indent=1, sort_keys=True) + "\n")


def read():
    """Return the result file's map, empty where there is none."""
    if not RESULT.exists():
        return {}
    return json.loads(RESULT.read_text())


def main():
    """Run the topics named, or all."""
    topics = sys.argv[1:] or TOPICS
    unknown = set(topics) - set(TOPICS)
    if unknown:
        print(f"Unknown topic {sorted(unknown)}; choose from {', '.join(TOPICS)}.")
        return 2
    run(topics)
    return 0


if __name__ == "__main__":
    sys.exit(main())

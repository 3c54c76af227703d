"""Judging answers: whether each belongs to its request and nothing ran twice."""

import collections

import msgspec

from teaselwall import services
from teaselwall.tools import engine, stages


def expected_output(document, text):
    """Return the answer that the stand-ins give for a request.

    Parameters
    ----------
    document : generated.service.Service
    text : str
        The caller's input.

    Returns
    -------
    object
        None where a plain service gives the answer, whose receipt names the key.
    """
    outputs = {services.REQUEST_INPUT: text}
    for stage in document.stages:
        if stage.kind == "plain":
            return None
        names = services.inputs(document, stage)
        inputs = {name: outputs[name] for name in names}
        if stage.kind == "engine":
            prompt = msgspec.json.encode(inputs).decode()
            tokens = [engine.token_at(prompt, i) for i in range(stage.max_tokens)]
            outputs[stage.name] = "".join(tokens)
        else:
            outputs[stage.name] = stages.output_of(stage.name, inputs)
    return outputs[document.stages[-1].name]


def is_own_answer(document, text, key, answer):
    """Return whether an answer belongs to its request."""
    output = answer["output"]
    wanted = expected_output(document, text)
    if wanted is None:
        return not key or output["receipt"].startswith(f"{key}/")
    return output == wanted


def n_doubled(records):
    """Return how many keys ran more than once.

    Parameters
    ----------
    records : list of dict
        What the plain servers wrote down.
    """
    runs = collections.Counter(
        (run["organisation"], run["key"])
        for record in records
        for run in record["runs"]
        if run["key"]
    )
    return sum(count > 1 for count in runs.values())

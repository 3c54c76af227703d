"""Checks of answers: each belongs to its request, and no key ran twice."""

import collections

import msgspec

from teaselwall import services
from teaselwall.tools import engine, stages


def expected_output(document, text):
    """Return the output that the stand-in back ends give for a request.

    Parameters
    ----------
    document : generated.service.Service
    text : str
        The caller's input.

    Returns
    -------
    object
        None if the service has a plain stage: a plain service answers with a receipt
        that begins with the key.
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
    """Return whether an answer is that of its request, not of another request.

    Parameters
    ----------
    document : generated.service.Service
    text : str
        The caller's input.
    key : str
        Idempotency key of the request, empty if it has none.
    answer : dict
        The decoded answer.
    """
    output = answer["output"]
    expected = expected_output(document, text)
    if expected is None:
        return not key or output["receipt"].startswith(f"{key}/")
    return output == expected


def n_doubled(records):
    """Return how many keys ran more than once.

    Parameters
    ----------
    records : list of dict
        What the plain servers recorded of their runs.
    """
    runs = collections.Counter(
        (run["organisation"], run["key"])
        for record in records
        for run in record["runs"]
        if run["key"]
    )
    return sum(count > 1 for count in runs.values())

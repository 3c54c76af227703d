"""Reading and checking service documents."""

import expression

from teaselwall import settings
from teaselwall.generated import service as schema

# Name by which a stage takes the body of the request as its input.
REQUEST_INPUT = "request"


def read(path):
    """Read and check a service document.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    expression.Result
        ``schema.Service`` or an ``errors.SettingsError``.
    """
    return settings.read_document(path, schema.Service).bind(lambda d: check(d, path))


def parse(text, source):
    """Decode and check the TOML text of a service document.

    Parameters
    ----------
    text : str
    source : str
        Name of the document in error texts.

    Returns
    -------
    expression.Result
        ``schema.Service`` or an ``errors.SettingsError``.
    """
    return settings.parse_document(text, schema.Service, source).bind(
        lambda d: check(d, source)
    )


def check(document, source):
    """Check a document's stages, deadline and organisations.

    Parameters
    ----------
    document : schema.Service
    source : str
        Name of the document in error texts.

    Returns
    -------
    expression.Result
        The document, or an ``errors.SettingsError``.
    """
    return (
        _check_stages(document, source)
        .bind(lambda d: _check_deadline(d, source))
        .bind(lambda d: _check_organisations(d, source))
    )


def _check_stages(document, source):
    known_names = {REQUEST_INPUT}
    for index, stage in enumerate(document.stages):
        key = f"stages[{index}]"
        if stage.name in known_names:
            remedy = "Give each stage a unique name."
            return settings.fault(source, f"{key}.name", "is used twice", remedy)
        for name in stage.inputs:
            if name not in known_names:
                reason = f"is not the name of an earlier stage (value {name!r})"
                remedy = f"Use one of {sorted(known_names)}."
                return settings.fault(source, f"{key}.inputs", reason, remedy)
        if stage.kind == "engine" and not stage.model:
            remedy = "Name the model of the engine stage."
            return settings.fault(source, f"{key}.model", "is missing", remedy)
        if stage.kind == "engine" and index != len(document.stages) - 1:
            remedy = "Move the engine stage to the end."
            return settings.fault(
                source, f"{key}.kind", "is not the last stage", remedy
            )
        if not stage.idempotent and stage.kind != "plain":
            reason = f"is false for a stage of kind {stage.kind!r}"
            remedy = "Only stages of kind 'plain' may set idempotent = false."
            return settings.fault(source, f"{key}.idempotent", reason, remedy)
        if not stage.idempotent and document.idempotent:
            reason = "is false while the service is idempotent"
            remedy = "Set 'idempotent = false' for the service too."
            return settings.fault(source, f"{key}.idempotent", reason, remedy)
        known_names.add(stage.name)
    if not document.idempotent and all(s.idempotent for s in document.stages):
        reason = "is false while every stage is idempotent"
        remedy = "Set 'idempotent = false' for the stage that may not be repeated."
        return settings.fault(source, "idempotent", reason, remedy)
    return expression.Ok(document)


def _check_deadline(document, source):
    needed_ms = longest_path_ms(document)
    if needed_ms > document.deadline_ms:
        reason = (
            f"is shorter than the longest path's expected_ms of {needed_ms} "
            f"(value {document.deadline_ms})"
        )
        remedy = "Raise deadline_ms or lower the stages' expected_ms."
        return settings.fault(source, "deadline_ms", reason, remedy)
    return expression.Ok(document)


def longest_path_ms(document):
    """Return the expected time of the longest path through the stages, in ms."""
    end_ms = {REQUEST_INPUT: 0}
    for stage in document.stages:
        start_ms = max((end_ms[name] for name in inputs(document, stage)), default=0)
        end_ms[stage.name] = start_ms + stage.expected_ms
    return max(end_ms.values())


def rest_ms(document, stage):
    """Return the expected time of the longest path after a stage, in ms."""
    remaining_ms = {}
    for later in reversed(document.stages):
        following = [s for s in document.stages if later.name in inputs(document, s)]
        remaining_ms[later.name] = max(
            (s.expected_ms + remaining_ms[s.name] for s in following), default=0
        )
    return remaining_ms[stage.name]


def inputs(document, stage):
    """Return the names of a stage's inputs.

    A stage without ``inputs`` takes the output of the stage before it; the first
    stage takes the request.
    """
    if stage.inputs:
        return stage.inputs
    index = document.stages.index(stage)
    return [document.stages[index - 1].name if index else REQUEST_INPUT]


def _check_organisations(document, source):
    names = [organisation.name for organisation in document.organisations]
    if len(set(names)) != len(names):
        remedy = "List each organisation once."
        return settings.fault(
            source, "organisations", "lists an organisation twice", remedy
        )
    if not sum(organisation.share for organisation in document.organisations):
        remedy = "Give at least one organisation a share above 0."
        return settings.fault(
            source, "organisations", "have shares that add up to 0", remedy
        )
    return expression.Ok(document)


def organisation(document, name):
    """Return the document's entry of an organisation, or None."""
    for entry in document.organisations:
        if entry.name == name:
            return entry
    return None

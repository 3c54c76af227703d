import json
import pathlib
import re

import jsonschema
import msgspec
import pytest

from teaselwall import application, errors, requestmatches, responses
from teaselwall.generated import gateway, messages, settings
from teaselwall.tools import capacity

DOCS = pathlib.Path(__file__).resolve().parents[2] / "docs"
OPENAPI = json.loads((DOCS / "openapi.json").read_text())
REQUESTS = OPENAPI["paths"]["/v1/services/{service}/requests"]["post"]


def error_types(error_type=errors.Error):
    yield error_type
    for child in error_type.__subclasses__():
        yield from error_types(child)


def settings_keys():
    yield from section_keys(settings.Settings, "")
    yield from section_keys(gateway.GatewaySettings, "gateway.")


def section_keys(struct_type, prefix):
    for section in msgspec.structs.fields(struct_type):
        if not hasattr(section.type, "__struct_fields__"):
            yield prefix + section.name, section
            continue
        for field in msgspec.structs.fields(section.type):
            yield f"{prefix}{section.name}.{field.name}", field


@pytest.mark.parametrize(("key", "field"), list(settings_keys()))
def test_each_setting_is_documented_with_its_default(key, field):
    page = (DOCS / "settings.md").read_text()
    row = re.search(rf"^\| `{re.escape(key)}` \|(.*)$", page, flags=re.MULTILINE)
    assert row is not None
    if isinstance(field.default, int):
        assert f"| {field.default} |" in row.group(1)


def test_openapi_describes_each_status_of_a_problem():
    described = set(REQUESTS["responses"])
    # Forbidden is sent by the control interface, UnknownKey by the gateway's.
    callers_error_types = set(error_types()) - {
        errors.Forbidden,
        requestmatches.UnknownKey,
    }
    for error_type in callers_error_types:
        assert str(error_type.status) in described, error_type


def test_problems_are_valid_against_openapi():
    error = errors.Overloaded("Full.", retry_after_ms=1500)
    details = msgspec.to_builtins(responses.problem(error, "r1"))
    resolved = json.loads(json.dumps(OPENAPI["components"]["schemas"]["Problem"]))
    jsonschema.validate(details, resolved)


def test_openapi_messages_have_the_fields_of_the_code():
    for name in ("Problem", "Answer", "EntryHost", "AddressAnswer"):
        described = set(OPENAPI["components"]["schemas"][name]["properties"])
        fields = msgspec.structs.fields(getattr(messages, name))
        assert described == {field.encode_name for field in fields}


def test_openapi_paths_are_those_of_the_code():
    pattern = application.REQUEST_PATH
    assert pattern.fullmatch("/v1/services/a-service/requests")
    source = pathlib.Path(application.__file__).read_text()
    for path in OPENAPI["paths"]:
        if "{" not in path:
            assert f'"{path}"' in source


def test_capacity_page_names_only_known_figures():
    template = capacity.TEMPLATE.read_text()
    assert capacity.render(template, {}).count("not measured") > 20
    assert "{{" not in capacity.render(template, {})


def test_fit_gives_slope_and_error():
    fit = capacity.Fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    assert (fit.slope, fit.intercept) == (2, 1)
    assert fit.error_percent == 0

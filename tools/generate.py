"""Generate the message and settings structs from the JSON Schemas.

Run by ``make generate``; the result is committed, so the build needs no
generator.
"""

import pathlib
import re
import sys

import datamodel_code_generator as codegen

SCHEMAS = ("settings", "gateway", "service", "messages")
STRICT = ("settings", "gateway", "service")
OPTIONAL_SECTION = re.compile(r"(\w+) \| UnsetType = UNSET")
ROOT = pathlib.Path(__file__).resolve().parent.parent


def generate(name, target):
    """Write the module for one schema.

    Parameters
    ----------
    name : str
        Schema name without its ending.
    target : pathlib.Path
        Directory that receives ``<name>.py``.
    """
    module = target / f"{name}.py"
    codegen.generate(
        ROOT / "schema" / f"{name}.json",
        input_file_type=codegen.InputFileType.JsonSchema,
        output=module,
        output_model_type=codegen.DataModelType.MsgspecStruct,
        target_python_version=codegen.PythonVersion.PY_311,
        disable_timestamp=True,
        use_schema_description=True,
        use_standard_collections=True,
        use_union_operator=True,
        enum_field_as_literal=codegen.LiteralType.All,
        use_annotated=True,
        base_class="teaselwall.structs." + ("Strict" if name in STRICT else "Open"),
        formatters=[codegen.Formatter.RUFF_FORMAT, codegen.Formatter.RUFF_CHECK],
        custom_file_header=f'"""Structs generated from ``schema/{name}.json``."""\n',
    )


def fill_defaults(module):
    """Give optional sections their default value in place of an unset marker.

    Parameters
    ----------
    module : pathlib.Path
        Generated module, rewritten in place.
    """
    text = module.read_text()
    text = OPTIONAL_SECTION.sub(r"\1 = field(default_factory=\1)", text)
    text = text.replace(" | UnsetType", "")
    text = re.sub(r"^from msgspec import .*$", _imports(text), text, flags=re.M)
    module.write_text(text)


def _imports(text):
    names = [n for n in ("Meta", "field") if re.search(rf"\b{n}\(", text)]
    return "from msgspec import " + ", ".join(names) if names else ""


def main():
    """Generate every module into the directory given as the argument."""
    target = pathlib.Path(sys.argv[1])
    target.mkdir(parents=True, exist_ok=True)
    for name in SCHEMAS:
        generate(name, target)
        fill_defaults(target / f"{name}.py")
    (target / "__init__.py").write_text('"""Structs generated from the schemas."""\n')


if __name__ == "__main__":
    main()

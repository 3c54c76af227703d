"""Base classes of the generated structs, by how they treat unknown fields."""

import msgspec


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Struct for documents written by people; an unknown key is an error."""


class Open(msgspec.Struct, kw_only=True):
    """Struct for messages between processes; unknown keys are ignored.

    A process of a newer version may send keys that an older one does not know.
    """


class Sparse(Open, omit_defaults=True):
    """Struct for messages most of whose fields are empty; these are not sent."""


class Row(msgspec.Struct, array_like=True):
    """Struct for frequently sent rows, encoded as a JSON array without field names.

    A process of a newer version may add fields at the end.
    """

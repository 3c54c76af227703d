"""Base classes of the generated structs."""

import msgspec


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Struct for documents written by people; an unknown key is an error."""


class Open(msgspec.Struct, kw_only=True):
    """Struct for messages between processes; unknown keys are passed over.

    A newer process may add keys that an older one does not know.
    """


class Row(msgspec.Struct, array_like=True):
    """Struct for rows that are sent often; a JSON array without field names.

    A newer process may add fields at the end.
    """

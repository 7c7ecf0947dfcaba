"""The errors of the settings file."""

from __future__ import annotations


class SettingsError(Exception):
    """The settings are invalid or cannot be read.

    Attributes
    ----------
    source
        The file, or the environment variable that should name it.
    key
        The dotted path of the invalid key; empty if the error concerns the whole file.
    fault
        The description of the error.
    """

    def __init__(self, source: str, fault: str, key: str = "") -> None:
        super().__init__(f"{source}: {key}: {fault}" if key else f"{source}: {fault}")
        self.source = source
        self.key = key
        self.fault = fault

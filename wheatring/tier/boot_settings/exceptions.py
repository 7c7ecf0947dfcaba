"""The errors of the settings of a process."""

from __future__ import annotations


class SettingsError(Exception):
    """The settings cannot be used.

    Attributes
    ----------
    source
        The file, or the variable of the environment that should name it.
    key
        The key that is wrong, its parts joined by dots; empty where the whole source is.
    fault
        What is wrong.
    """

    def __init__(self, source: str, fault: str, key: str = "") -> None:
        super().__init__(f"{source}: {key}: {fault}" if key else f"{source}: {fault}")
        self.source = source
        self.key = key
        self.fault = fault

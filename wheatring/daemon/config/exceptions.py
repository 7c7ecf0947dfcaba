"""Errors in the configuration of a sidecar in service."""

from __future__ import annotations

from wheatring.common.errors import UncodedError

MAX_TEXT_CHARACTERS = 300


class PlatformFileError(UncodedError, ValueError):
    """The platform's configuration can't be used; the text begins with the key at fault."""

    code = "config-key"
    do = "Correct the key that the line names, in LB_CONFIG's file or in the variable that stands over it."

    def __init__(self, what: str) -> None:
        """Limit the text to one line of bounded length, whatever names the file contains."""
        what = what[:MAX_TEXT_CHARACTERS]
        super().__init__("".join(c if c.isprintable() else ascii(c)[1:-1] for c in what))


class PlatformFileUnreadableError(PlatformFileError):
    """The platform's file can't be read, or is not a JSON object."""

    code = "config-unreadable"
    do = "Let LB_CONFIG name a file that this process may read and that holds one JSON object."


class ProjectFileError(UncodedError, ValueError):
    """The project's file can't be used; the text is one line that names file, line and key."""

    code = "file-key"
    do = "Correct the key at the line that is named, and try the file with `wheatring check FILE`."


class ProjectFileUnreadableError(ProjectFileError):
    """The project's file can't be read, or is not TOML."""

    code = "file-unreadable"
    do = "Let --config name a file that this process may read and that is TOML in UTF-8."


class KeyFileError(ProjectFileError):
    """The fleet's key file can't be used."""

    code = "key-file"
    do = "Let fleet.key_file name a readable file of keys, one a line, 32 to 128 hexadecimal digits each."


class RestartRequiredError(ProjectFileError):
    """A reloaded file changes settings that require a restart."""

    code = "restart-only"
    do = "Take the change back, or restart this sidecar to put it into effect."


class VotersInForceError(ProjectFileError):
    """A reloaded file names voters that must not succeed the current voters in one step."""

    code = "voters-kept"
    do = "Name the new ones as voters_next on all sidecars, and as voters after a term by both; reload again."

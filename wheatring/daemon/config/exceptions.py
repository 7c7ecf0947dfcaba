"""The errors of the configuration of a sidecar in service. Each line begins with the key at fault."""

from __future__ import annotations

from wheatring.common.errors import UncodedError

MAX_TEXT_CHARACTERS = 300  # of a line on what is wrong


class PlatformFileError(UncodedError, ValueError):
    """A platform's configuration that can't be used; the text begins with the key at fault."""

    code = "config-key"
    do = "Correct the key that the line names, in LB_CONFIG's file or in the variable that stands over it."

    def __init__(self, what: str) -> None:
        """Keep the text on one line of bounded length, whatever the names in the file are."""
        what = what[:MAX_TEXT_CHARACTERS]
        super().__init__("".join(c if c.isprintable() else ascii(c)[1:-1] for c in what))


class PlatformFileUnreadableError(PlatformFileError):
    """There is none, or it is no JSON object."""

    code = "config-unreadable"
    do = "Let LB_CONFIG name a file that this process may read and that holds one JSON object."


class ProjectFileError(UncodedError, ValueError):
    """A project's file that can't be used; the text is one line that names file, line and key."""

    code = "file-key"
    do = "Correct the key at the line that is named, and try the file with `wheatring check FILE`."


class ProjectFileUnreadableError(ProjectFileError):
    """There is none, or it is no TOML."""

    code = "file-unreadable"
    do = "Let --config name a file that this process may read and that is TOML in UTF-8."


class KeyFileError(ProjectFileError):
    """The fleet's key file can't be used."""

    code = "key-file"
    do = "Let fleet.key_file name a readable file of keys, one a line, 32 to 128 hexadecimal digits each."


class RestartRequiredError(ProjectFileError):
    """A file that was read again changes what does not change while the process runs."""

    code = "restart-only"
    do = "Take the change back, or restart this sidecar to put it into effect."


class VotersInForceError(ProjectFileError):
    """A file that was read again names voters that may not follow those in force."""

    code = "voters-kept"
    do = "Name the new ones as voters_next on all sidecars, and as voters after a term by both; reload again."

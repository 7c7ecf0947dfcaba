"""Defers the import of modules that what the service path imports uses, but the service path itself never.

They are loaded at their first use.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import Any

# Twisted, or what it imports, passes them on as names of its own: HTTP clients and mail, TLS, child
# processes, datagrams, Unix sockets. A feature that does use one has it from its first use.
DEFERRED = (
    "asyncio.sslproto", "asyncio.staggered", "http.cookiejar", "locale", "pickle", "ssl", "textwrap",
    "twisted.internet.process", "twisted.internet.ssl", "twisted.internet.udp", "twisted.internet.unix",
)  # fmt: skip


class DeferredModule(ModuleType):
    """A module of which nothing has been used yet; the first use makes it an ordinary one."""

    def __getattr__(self, name: str) -> object:
        """Load the module, and return what is used of it."""
        spec, loader = self.__spec__, self.__dict__.pop("deferred_loader")
        assert spec is not None
        self.__class__ = ModuleType  # type: ignore[assignment]  # an ordinary one from now on
        self.__loader__ = spec.loader = loader
        loader.exec_module(self)
        return getattr(self, name)


class _Loader:
    """Makes a module and leaves its execution to the first use. `loader` is the real one."""

    def __init__(self, loader: Any) -> None:
        self.loader = loader

    def create_module(self, spec: ModuleSpec) -> None:
        """Leave the creation to the import system, which gives an ordinary module its attributes."""

    def exec_module(self, module: ModuleType) -> None:
        """Defer the module's execution until an attribute is used."""
        module.__dict__["deferred_loader"] = self.loader
        module.__class__ = DeferredModule


class _Finder:
    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None,
        target: object = None,  # noqa: ARG002 - the import system's signature
    ) -> ModuleSpec | None:
        """Return a spec with a deferring loader for a listed module, else None."""
        spec = PathFinder.find_spec(name, path) if name in self.names else None
        if spec is not None and spec.loader is not None:
            spec.loader = _Loader(spec.loader)  # type: ignore[assignment]  # all that the import needs of one
        return spec


def defer(names: tuple[str, ...] = DEFERRED) -> None:
    """Let imports of these modules, from now on, load them at their first use only."""
    sys.meta_path.insert(0, _Finder(names))

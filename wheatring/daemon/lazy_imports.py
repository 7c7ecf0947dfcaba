"""Defers the loading of modules that dependencies import but that are not needed to serve requests.

They are loaded at their first use.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import Any

# Twisted or its dependencies import these, for HTTP clients and mail, TLS, child processes, datagrams and
# Unix sockets. A feature that uses one of them loads it at the first use.
DEFERRED = (
    "asyncio.sslproto", "asyncio.staggered", "http.cookiejar", "locale", "pickle", "ssl", "textwrap",
    "twisted.internet.process", "twisted.internet.ssl", "twisted.internet.udp", "twisted.internet.unix",
)  # fmt: skip


class DeferredModule(ModuleType):
    """A module that is loaded at its first attribute access, from which on it is an ordinary module."""

    def __getattr__(self, name: str) -> object:
        """Load the module, and return its attribute."""
        spec, loader = self.__spec__, self.__dict__.pop("deferred_loader")
        assert spec is not None
        self.__class__ = ModuleType  # type: ignore[assignment]  # an ordinary one from now on
        self.__loader__ = spec.loader = loader
        loader.exec_module(self)
        return getattr(self, name)


class _Loader:
    """Creates a module whose execution is deferred to the first use. `loader` is the actual loader."""

    def __init__(self, loader: Any) -> None:
        self.loader = loader

    def create_module(self, spec: ModuleSpec) -> None:
        """Return None, so that the import system creates an ordinary module."""

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
            spec.loader = _Loader(spec.loader)  # type: ignore[assignment]  # has all methods that the import system calls
        return spec


def defer(names: tuple[str, ...] = DEFERRED) -> None:
    """Defer the loading of these modules, when they are imported from now on, to their first use."""
    sys.meta_path.insert(0, _Finder(names))

"""Modules that the service path never uses, though what it imports does: they are loaded once they are asked
for anything.
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
    """One that has not been asked for anything yet."""

    def __getattr__(self, name: str) -> object:
        spec, loader = self.__spec__, self.__dict__.pop("loads")
        assert spec is not None
        self.__class__ = ModuleType  # type: ignore[assignment]  # an ordinary one from now on
        self.__loader__ = spec.loader = loader
        loader.exec_module(self)
        return getattr(self, name)


class _Loader:
    """Makes the module, and leaves the rest for later."""

    def __init__(self, loads: Any) -> None:
        self.loads = loads

    def create_module(self, spec: ModuleSpec) -> None:
        return None  # an ordinary one: to give it its names, the import asks it for some

    def exec_module(self, module: ModuleType) -> None:
        module.__dict__["loads"] = self.loads
        module.__class__ = DeferredModule


class _Finder:
    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names

    def find_spec(self, name: str, path: Sequence[str] | None, target: object = None) -> ModuleSpec | None:
        spec = PathFinder.find_spec(name, path) if name in self.names else None
        if spec is not None and spec.loader is not None:
            spec.loader = _Loader(spec.loader)  # type: ignore[assignment]  # all that the import needs of one
        return spec


def defer(names: tuple[str, ...] = DEFERRED) -> None:
    """From now on, importing one of these gives a module that loads itself at the first use."""
    sys.meta_path.insert(0, _Finder(names))

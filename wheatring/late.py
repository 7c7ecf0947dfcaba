"""Modules that the service path never uses, though what it imports does: they are loaded once they are asked
for anything."""

from __future__ import annotations

import sys
from importlib.util import find_spec, module_from_spec
from types import ModuleType

# Twisted passes it on as a name of its own, and with it come HTTP clients and mail.
UNUSED = ("http.cookiejar",)


class _Late(ModuleType):
    def __getattr__(self, name: str) -> object:
        self.__class__ = ModuleType  # type: ignore[assignment]  # an ordinary one from now on
        spec = self.__spec__
        assert spec is not None and spec.loader is not None
        spec.loader.exec_module(self)
        return getattr(self, name)


def put_off(names: tuple[str, ...] = UNUSED) -> None:
    """Importing one of these gives a module that loads itself at the first use."""
    for name in names:
        spec = find_spec(name) if name not in sys.modules else None
        if spec is not None:
            module = module_from_spec(spec)
            module.__class__ = _Late
            sys.modules[name] = module
            parent, _, last = name.rpartition(".")
            setattr(sys.modules[parent], last, module)

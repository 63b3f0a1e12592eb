"""Lazy import of a package's public names, so that a process loads only the modules it uses."""

import importlib
import sys
from collections.abc import Callable, Mapping


def lazy_names(package: str, module_of: Mapping[str, str]) -> Callable[[str], object]:
    """Return a module-level ``__getattr__`` that imports public names on their first use.

    :param package: name of the package.
    :param module_of: name of the defining module by public name.
    """

    def get(name: str) -> object:
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(module), name)
        setattr(sys.modules[package], name, value)
        return value

    return get

"""Public names that are imported on their first use, so that a process loads only what it needs."""

import importlib
import sys
from collections.abc import Callable, Mapping


def lazy_names(package: str, module_of: Mapping[str, str]) -> Callable[[str], object]:
    """Return a package's ``__getattr__``.

    :param package: name of the package.
    :param module_of: the module that defines each public name.
    """

    def get(name: str) -> object:
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(module), name)
        setattr(sys.modules[package], name, value)
        return value

    return get

"""Value types used by the decision logic; nothing here performs input or output."""

from figcrank.state._lazy import lazy_names

_MODULE_OF = {
    "MILLI": "figcrank.state._buckets",
    "TokenBucket": "figcrank.state._buckets",
    "Clock": "figcrank.state._clock",
    "ManualClock": "figcrank.state._clock",
    "ConfigObject": "figcrank.state._config",
    "ConfigSnapshot": "figcrank.state._config",
    "ConfigValue": "figcrank.state._config",
    "ObjectId": "figcrank.state._config",
    "Group": "figcrank.state._groups",
    "Server": "figcrank.state._groups",
    "ServerRole": "figcrank.state._groups",
    "ServerStatus": "figcrank.state._groups",
    "Host": "figcrank.state._hosts",
    "HostState": "figcrank.state._hosts",
    "ORIGIN": "figcrank.state._positions",
    "Position": "figcrank.state._positions",
    "Profile": "figcrank.state._profiles",
    "ProfileMode": "figcrank.state._profiles",
    "RandomSource": "figcrank.state._randomness",
    "era_of": "figcrank.state._revisions",
    "number_of": "figcrank.state._revisions",
    "revision_of": "figcrank.state._revisions",
    "GroupPosition": "figcrank.state._sessions",
    "Session": "figcrank.state._sessions",
    "Key": "figcrank.state._workspaces",
    "PresentedKey": "figcrank.state._workspaces",
    "Route": "figcrank.state._workspaces",
    "Service": "figcrank.state._workspaces",
    "Workspace": "figcrank.state._workspaces",
    "key_digest": "figcrank.state._workspaces",
}
__all__ = list(_MODULE_OF)
__getattr__ = lazy_names(__name__, _MODULE_OF)

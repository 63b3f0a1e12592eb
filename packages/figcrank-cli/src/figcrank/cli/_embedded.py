"""Platform and database group that run in the process of an embedded host."""

import json
import secrets
from dataclasses import dataclass

import msgspec

from figcrank.standins.group_server import start_group
from figcrank.standins.platform_server import start_platform
from figcrank.standins.samples import SAMPLE_SERVICE, SAMPLE_WORKSPACE, sample_objects
from figcrank.transport import Settings

HOST_NAME = "host-1"
FLEET_NAME = "embedded"
SETTINGS_SOURCE = "command line"
SECRET_BYTES = 24
EPHEMERAL_ADDRESS = "127.0.0.1:0"
PROFILES = ("fresh", "relaxed", "write")


@dataclass(frozen=True, slots=True)
class EmbeddedFleet:
    """Settings and sample configuration of an embedded host.

    :param settings: settings of the host.
    :param workspace: name of the sample workspace.
    :param key: caller key of the sample workspace.
    :param service: name of the sample service.
    :param profiles: names of the sample profiles.
    """

    settings: Settings
    workspace: str
    key: str
    service: str
    profiles: tuple[str, ...]

    @classmethod
    def start(cls, listen: str, trace_file: str) -> "EmbeddedFleet":
        """Start the platform and the database group, both on the loopback interface.

        :param listen: ``ip:port`` of the caller API.
        :param trace_file: file to write spans to, empty for no tracing.
        :raises SettingsError: if ``listen`` is not a valid address.
        """
        sample = sample_objects()
        group = start_group().group
        platform = start_platform(sample.objects)
        config = {
            "fleet": FLEET_NAME,
            "host": {
                "name": HOST_NAME,
                "availability_zone": group.servers[0].availability_zone,
                "caller_address": listen,
                "operator_address": EPHEMERAL_ADDRESS,
                "peer_address": EPHEMERAL_ADDRESS,
                "gossip_address": EPHEMERAL_ADDRESS,
            },
            "platform_address": platform.address,
            "secrets": [secrets.token_hex(SECRET_BYTES)],
            "operator_keys": [secrets.token_hex(SECRET_BYTES)],
            "groups": [json.loads(msgspec.json.encode(group))],
            "owners_per_group": 1,
            "trace_file": trace_file,
        }
        settings = Settings.from_config(config, SETTINGS_SOURCE)
        return cls(settings, SAMPLE_WORKSPACE, sample.key, SAMPLE_SERVICE, PROFILES)

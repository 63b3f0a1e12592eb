"""The configuration: how it reaches a host, how it is edited, whether it is new enough."""

from figcrank.coordination.configuration._configuration import Configuration as Configuration

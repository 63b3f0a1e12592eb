"""Distribution, editing and freshness of the live configuration."""

from figcrank.coordination.configuration._configuration import Configuration as Configuration

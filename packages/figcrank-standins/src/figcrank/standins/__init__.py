"""Small stand-ins for the platform and for database groups.

What is exported here does no input or output; the servers are in
:mod:`figcrank.standins.group_server` and :mod:`figcrank.standins.platform_server`.
"""

from figcrank.standins._errors import ServerFullError as ServerFullError
from figcrank.standins._knobs import Knobs as Knobs
from figcrank.standins._log import LogEntry as LogEntry
from figcrank.standins._log import ReplicationBatch as ReplicationBatch
from figcrank.standins._platform_model import PlatformModel as PlatformModel
from figcrank.standins._server_model import ServerModel as ServerModel
from figcrank.standins._server_model import form_group as form_group
from figcrank.standins._server_model import replicate as replicate
from figcrank.standins.samples import SampleConfig as SampleConfig
from figcrank.standins.samples import SampleObject as SampleObject
from figcrank.standins.samples import Sizes as Sizes
from figcrank.standins.samples import herdtrace as herdtrace
from figcrank.standins.samples import patna as patna
from figcrank.standins.samples import sample_objects as sample_objects

"""Admission and order of the statements that wait for a server."""

from figcrank.coordination.admission._demand import Demand as Demand
from figcrank.coordination.admission._queue import AdmissionQueue as AdmissionQueue
from figcrank.coordination.admission._queue import Ticket as Ticket
from figcrank.coordination.admission._queue_summary import busiest_workspace as busiest_workspace
from figcrank.coordination.admission._queue_summary import summarize_waiting as summarize_waiting
from figcrank.coordination.admission._queue_summary import (
    waiting_by_workspace as waiting_by_workspace,
)
from figcrank.coordination.admission._rejection import Rejection as Rejection
from figcrank.coordination.admission._rejection import RejectionReason as RejectionReason
from figcrank.coordination.admission._service_times import CONNECT_MS as CONNECT_MS
from figcrank.coordination.admission._service_times import ServiceTimes as ServiceTimes
from figcrank.coordination.admission._service_use import ServiceUse as ServiceUse
from figcrank.coordination.admission._stages import Stage as Stage
from figcrank.coordination.admission._stages import StageTimes as StageTimes

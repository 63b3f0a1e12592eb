"""The primary of each database group: when it may be used, and how it is replaced."""

from figcrank.coordination.primaries._claim import completed_record as completed_record
from figcrank.coordination.primaries._claim import first_version as first_version
from figcrank.coordination.primaries._claim import is_settled as is_settled
from figcrank.coordination.primaries._claim import moving_record as moving_record
from figcrank.coordination.primaries._forecast import ReplacementForecast as ReplacementForecast
from figcrank.coordination.primaries._forecast import ReplacementView as ReplacementView
from figcrank.coordination.primaries._holder import (
    PROMOTION_CALL_TIMEOUT_MS as PROMOTION_CALL_TIMEOUT_MS,
)
from figcrank.coordination.primaries._holder import PROMOTION_EFFECT_MS as PROMOTION_EFFECT_MS
from figcrank.coordination.primaries._holder import PROMOTION_WINDOW_MS as PROMOTION_WINDOW_MS
from figcrank.coordination.primaries._holder import TAKEOVER_WAIT_MS as TAKEOVER_WAIT_MS
from figcrank.coordination.primaries._holder import PromotionRight as PromotionRight
from figcrank.coordination.primaries._holder import RecordHolder as RecordHolder
from figcrank.coordination.primaries._members import GroupMembers as GroupMembers
from figcrank.coordination.primaries._members import complete_position as complete_position
from figcrank.coordination.primaries._proof import newest_primary as newest_primary
from figcrank.coordination.primaries._proof import proven_position as proven_position
from figcrank.coordination.primaries._proof import proven_primary as proven_primary
from figcrank.coordination.primaries._replacement import SILENT_THRESHOLD_MS as SILENT_THRESHOLD_MS
from figcrank.coordination.primaries._replacement import Evidence as Evidence
from figcrank.coordination.primaries._replacement import FencingState as FencingState
from figcrank.coordination.primaries._replacement import ReplacementReason as ReplacementReason
from figcrank.coordination.primaries._replacement import may_promote as may_promote
from figcrank.coordination.primaries._replacement import rank_candidates as rank_candidates
from figcrank.coordination.primaries._replacement import reason_to_replace as reason_to_replace
from figcrank.coordination.primaries._table import LEASE_MS as LEASE_MS
from figcrank.coordination.primaries._table import MAJORITY_LEASE_MS as MAJORITY_LEASE_MS
from figcrank.coordination.primaries._table import PrimaryTable as PrimaryTable

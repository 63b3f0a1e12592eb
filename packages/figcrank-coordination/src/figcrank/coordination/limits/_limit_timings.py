"""Timings of the lending protocol, which must be the same on all hosts."""

# How long a host's vote for a home host is valid after it was received.
VOTE_VALID_MS = 300
# Maximum age of a datagram when a process that is not paused receives it.
MAX_DATAGRAM_AGE_MS = 80
# How long a host withholds its vote after a change of home, until its previous vote has expired.
VOTE_SWITCH_DELAY_MS = VOTE_VALID_MS + MAX_DATAGRAM_AGE_MS
# A home host that does not answer a report within this time gets no vote until it answers.
ANSWER_TIMEOUT_MS = 150
# A suspected host that has sent nothing for this long is excluded as home host.
HOME_SILENCE_MS = 300
# A longer time between two events means that the process was paused.
EVENT_GAP_PAUSE_MS = 60
# Time after a pause within which the datagrams that waited in the socket are read.
BACKLOG_MS = 30
# A lender counts a slice as outstanding for this much longer than its lease.
LEASE_MARGIN_MS = 20
# How long hosts that disappeared still count as voters.
VOTER_RETENTION_MS = 30_000
# Age of a host's latest vote from which a home host requests a new one.
VOTE_REFRESH_MS = 150
# How long a home host keeps requesting votes after the last request for tokens.
DEMAND_ACTIVE_MS = 5_000
# Maximum time that a request waits for a token.
MAX_WAIT_MS = 300
# Tokens are lent ahead for the demand that is expected within this time.
LENDING_HORIZON_MS = 100

"""Times of the lending protocol that hosts must agree on."""

# A host's vote for a home counts for this long after it was received.
SUPPORT_MS = 300
# Greatest age at which a datagram still reaches a process that is not paused.
MAX_DELAY_MS = 80
# A host votes for a new home only after its vote for the old one has expired.
SILENCE_MS = SUPPORT_MS + MAX_DELAY_MS
# A home that has not answered a report of this age gets no vote until it does.
ANSWER_TIMEOUT_MS = 150
# A suspected host that has sent nothing for this long is home to nothing.
HOME_SILENCE_MS = 300
# Two events further apart show that the process was paused.
PAUSE_MS = 60
# Datagrams that waited in the socket during a pause are read within this time after it.
BACKLOG_MS = 30
# A lender counts a slice as out for this much longer than its lease.
LEASE_MARGIN_MS = 20
# Hosts that disappeared still count towards the majority for this long.
VOTER_MEMORY_MS = 30_000
# A home asks for the vote of hosts that it has not heard from for this long.
SOLICIT_AGE_MS = 150
# A home keeps asking for votes for this long after it was last asked for tokens.
ACTIVE_MS = 5_000
# Longest time that a request waits for a token.
MAX_WAIT_MS = 300
# Tokens are lent ahead for the demand of this time.
LENDING_HORIZON_MS = 100

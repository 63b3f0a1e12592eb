"""Times of the lending protocol that hosts must agree on."""

# A host's word that it believes in a home counts for this long after it was heard.
SUPPORT_MS = 400
# Greatest age at which a datagram still reaches a process that is not paused.
MAX_DELAY_MS = 100
# A host that believes in a new home gives its word only after the old home's has run out.
SILENCE_MS = SUPPORT_MS + MAX_DELAY_MS
# Two events further apart show that the process was paused.
PAUSE_MS = 80
# Datagrams that waited in the socket during a pause are read within this time after it.
BACKLOG_MS = 30
# A lender counts a slice as out for this much longer than its lease.
LEASE_MARGIN_MS = 20
# Hosts that disappeared still count towards the majority for this long.
VOTER_MEMORY_MS = 30_000
# Time between two reports of an idle host to each home.
HEARTBEAT_MS = 120
# Longest time that a request waits for a token.
MAX_WAIT_MS = 300
# Tokens are lent ahead for the demand of this time.
LENDING_HORIZON_MS = 100

"""Small stand-ins for the platform's store, the failover API, database servers and clients.

They use the standard library only, listen on loopback addresses and run in one asyncio loop. The
hosts of the proxy run as separate processes, see :mod:`standins.hosts`.
"""

"""Eventlet servers and clients that drive a figcrank host core."""

"""Upstreams: announcements, connections, engine protocol."""

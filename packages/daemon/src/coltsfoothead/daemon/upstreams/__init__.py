"""Announcements and directory of upstreams, and the clients of model engines."""

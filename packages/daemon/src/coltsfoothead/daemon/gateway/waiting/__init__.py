"""Requests that wait at an entry for room, and the times at which refused ones return."""

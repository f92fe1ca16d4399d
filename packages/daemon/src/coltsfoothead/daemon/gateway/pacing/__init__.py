"""Pacing of upstreams that have started or returned: the parts of entries and of the leader."""

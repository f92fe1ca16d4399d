"""Replicated logs of a daemon: hosting, proposals, leases, voters and configuration."""

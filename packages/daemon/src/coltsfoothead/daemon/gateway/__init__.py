"""Roles of the gateway: the entry, which serves callers, and the control process behind it."""

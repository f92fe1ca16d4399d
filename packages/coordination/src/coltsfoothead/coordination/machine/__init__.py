"""Deterministic state machines that a replicated log drives, and their host."""

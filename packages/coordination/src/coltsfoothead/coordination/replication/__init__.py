"""Replicated log: Raft as a pure state machine, and the asyncio task that runs it."""

"""Replication of accepted requests from their owner to a guard in another zone."""

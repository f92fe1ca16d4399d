"""Replication of accepted requests from their owner to a guard, a backup in another zone."""

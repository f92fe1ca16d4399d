"""Durable storage of one replica: segment log, hard state, snapshots, identity, peer table."""

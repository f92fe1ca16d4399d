"""SWIM membership, the upstream directory, and the planning of Raft voter changes."""

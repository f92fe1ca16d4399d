"""Detection of upstreams that perform worse than their peers."""

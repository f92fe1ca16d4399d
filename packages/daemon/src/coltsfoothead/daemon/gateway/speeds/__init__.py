"""Exchange of the learned speeds of upstreams between entries, control followers and the leader."""

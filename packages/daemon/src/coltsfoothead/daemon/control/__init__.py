"""Control tasks: replicated logs, membership, configuration."""

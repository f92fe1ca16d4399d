"""Serving of model requests: admission, routing, generation, replication and relaying."""

"""Service-level objectives."""

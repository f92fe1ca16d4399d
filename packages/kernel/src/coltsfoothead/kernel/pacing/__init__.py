"""Pacing: how fast the requests to an upstream increase that has started or returned."""

"""Routing policies and the structures they read."""

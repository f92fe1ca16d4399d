"""Handling of the streams of an upstream that is being reclaimed."""

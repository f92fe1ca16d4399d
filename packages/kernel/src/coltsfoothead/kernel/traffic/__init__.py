"""Decisions of the entries and of the control leader about requests of routes."""

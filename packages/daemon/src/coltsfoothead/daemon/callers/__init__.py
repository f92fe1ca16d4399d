"""Requests of callers: model traffic, plain services, reconnects."""

"""The operators' API."""

"""Waiting and returning: which refused requests wait at their entry, and when the others return."""

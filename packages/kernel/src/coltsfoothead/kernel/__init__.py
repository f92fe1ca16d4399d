"""Serving decisions as plug-ins, and the environment document they are chosen in."""

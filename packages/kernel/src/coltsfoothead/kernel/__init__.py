"""Serving policies as plug-ins, and the environment document that selects them."""

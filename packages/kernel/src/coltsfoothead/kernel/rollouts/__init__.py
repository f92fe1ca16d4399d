"""Moves a service to another software version by evidence, or back."""

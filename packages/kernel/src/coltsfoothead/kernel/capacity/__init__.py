"""Capacity planning: VM mixes, weight loads, role changes and the lower bound of the cost."""

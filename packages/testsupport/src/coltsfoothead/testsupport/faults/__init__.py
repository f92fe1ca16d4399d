"""Fault matrix: every fault at every step of the work, against real daemons."""

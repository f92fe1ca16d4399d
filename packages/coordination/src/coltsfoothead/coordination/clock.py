"""Assumptions about clocks that the leases share."""

__all__ = ["MAX_DRIFT"]

# Largest assumed rate error of any monotonic clock against true time. NTP slews by at most 500 ppm
# and oscillators are off by up to about 200 ppm, so this leaves a factor of almost three.
MAX_DRIFT = 0.002

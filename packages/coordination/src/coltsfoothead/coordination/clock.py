"""Clock assumptions shared by all leases."""

__all__ = ["MAX_DRIFT"]

# Largest assumed rate error of a monotonic clock against true time, as a ratio. NTP slews by at
# most 500 ppm and oscillators deviate by up to about 200 ppm; the margin is a factor of almost 3.
MAX_DRIFT = 0.002

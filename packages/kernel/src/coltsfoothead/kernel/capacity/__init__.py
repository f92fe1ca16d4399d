"""Which VMs to hold, what they load, and what the cheapest fleet would cost."""

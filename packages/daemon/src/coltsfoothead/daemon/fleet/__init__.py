"""Owner of the fleet: buys and stops VMs and gives orders to upstreams."""

"""The fleet's owner: starts and stops VMs through the cloud API and sends orders to upstreams."""

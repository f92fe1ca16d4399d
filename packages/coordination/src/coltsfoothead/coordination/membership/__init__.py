"""SWIM failure detector and directory of upstreams."""

"""Fakes, fault-injecting proxy and process harness; never imported by the product."""

"""Embeddable coordination: replicated log, leases, ledger, membership, request guard."""

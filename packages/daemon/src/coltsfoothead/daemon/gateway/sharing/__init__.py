"""Fair shares of a service while its room is short: at the entries and at the leader."""

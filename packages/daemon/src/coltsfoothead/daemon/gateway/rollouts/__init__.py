"""Rollouts in the processes of the gateway: the control log, the leader's part and the entry's."""

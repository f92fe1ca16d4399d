"""Fair shares: divides the room of a service among organisations while it is short.

The load that this answers: one organisation sends several times its usual beside others that send
theirs, or callers together want more than the upstreams can answer in time. The control leader
finds the room of each service and divides it; entries admit requests at the rates they are given.
"""

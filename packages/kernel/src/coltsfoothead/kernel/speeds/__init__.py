"""Learned speeds of upstreams, for load that is spread over upstreams of unequal speed.

Load: 60 entries share 30 to 45 model runners, of which some run at 0.7 and some at 1.7 of the speed
of others, and each is slower than usual at times. Each runner begins about five streams a second,
so that one entry sees one of them every ten seconds. The entries send compact sums of what they
observe to the leader, which estimates the speeds and sends those that have changed to all entries.
"""

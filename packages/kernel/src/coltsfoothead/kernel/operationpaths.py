"""Paths of the operators' API."""

__all__ = [
    "APPLY",
    "CONFIG",
    "DRAIN",
    "HISTORY",
    "MEMBERS",
    "METRICS",
    "REQUESTS",
    "SLO",
    "STATUS",
    "UPSTREAMS",
    "VMS",
    "VOTERS_ADD",
    "VOTERS_REMOVE",
]

STATUS = "/status"
UPSTREAMS = "/upstreams"
REQUESTS = "/requests"  # `?id=ID` limits the answer to one request.
VMS = "/vms"
MEMBERS = "/members"
CONFIG = "/config"
HISTORY = "/config/history"  # `?documents=1` includes the documents.
SLO = "/slo"
METRICS = "/metrics"
APPLY = "/config/apply"
DRAIN = "/drain"
VOTERS_ADD = "/voters/add"
VOTERS_REMOVE = "/voters/remove"

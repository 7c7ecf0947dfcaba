"""Public types of the package in one place: settings, events, actions and outcomes.

The host of a balancer passes events to it and carries out the actions that it returns. All times and
durations are in seconds (float), on one monotonic clock with an arbitrary origin. Ids of requests, endpoints
and cells are opaque.
"""

from wheatring.balancer.actions import (
    Action,
    Cancel,
    Candidate,
    CheckHealth,
    CloseIdle,
    Fail,
    FetchEndpointList,
    Log,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    Subscribe,
)
from wheatring.balancer.endpoint_list import EndpointEntry, EndpointState, View, ViewKind
from wheatring.balancer.events import (
    AttemptEnded,
    Committed,
    Event,
    HealthCheckEnded,
    NewRequest,
    PeerMessage,
    RequestAbandoned,
    TimerDue,
)
from wheatring.balancer.outcomes import LoadReport, Outcome
from wheatring.balancer.settings import (
    Contract,
    Goal,
    Idempotency,
    Limits,
    RepeatScope,
    RequestClass,
    Settings,
    Tenant,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "Cancel",
    "Candidate",
    "CheckHealth",
    "CloseIdle",
    "Committed",
    "Contract",
    "EndpointEntry",
    "EndpointState",
    "Event",
    "Fail",
    "FetchEndpointList",
    "Goal",
    "HealthCheckEnded",
    "Idempotency",
    "Limits",
    "LoadReport",
    "Log",
    "NewRequest",
    "Outcome",
    "PeerMessage",
    "Reject",
    "RepeatScope",
    "RequestAbandoned",
    "RequestClass",
    "Send",
    "SendPeerMessage",
    "SetTimer",
    "Settings",
    "Subscribe",
    "Tenant",
    "TimerDue",
    "View",
    "ViewKind",
]

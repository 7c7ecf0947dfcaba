"""A simulated network in virtual time, on which real sidecars and Twisted protocols run unchanged.

`VirtualTime` is the clock and scheduler, `Network` holds the hosts and the links between them, and `Process`
is the reactor of one program on one host. Twisted's own TCP transports run on simulated sockets with a
kernel's semantics. The package may import Twisted and the lab's `plan` and `timers`, and nothing else of the
project.
"""

from wheatring.lab.net.network import Network
from wheatring.lab.net.process import OpenResources, Process
from wheatring.lab.net.time import Event, VirtualTime

__all__ = ["Event", "Network", "OpenResources", "Process", "VirtualTime"]

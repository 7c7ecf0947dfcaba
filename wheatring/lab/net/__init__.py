"""Virtual time, processes, sockets and links: what real sidecars and Twisted protocols run on, unchanged.

`VirtualTime` is the one clock, `Network` the hosts and what lies between them, `Process` the reactor of one
program on one host. Twisted's own TCP transports run here on sockets that behave as a kernel's. It may import
Twisted and `plan` and `timers` of the lab, and nothing else of the project.
"""

from wheatring.lab.net.network import Network
from wheatring.lab.net.process import OpenResources, Process
from wheatring.lab.net.time import Event, VirtualTime

__all__ = ["Event", "Network", "OpenResources", "Process", "VirtualTime"]

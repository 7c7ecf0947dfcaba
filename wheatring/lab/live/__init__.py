"""The lab on loopback: real processes on real sockets, in real time. And the benchmark.

Every address is in 127.0.0.0/8, every port is the kernel's choice, and no process outlives the one that
started it. It may import everything of the lab and of the sidecar; nothing but its own command imports it.
Figures from here depend on the machine: what is to be the same twice belongs in virtual time.
"""

"""The lab on loopback: real processes on real sockets, in real time. And the benchmark.

Every address is in 127.0.0.0/8, the kernel chooses every port, and no process outlives the one that
started it. This package may import any module of the lab and of the sidecar; only its own command imports it.
Figures measured here depend on the machine; reproducible results need virtual time.
"""

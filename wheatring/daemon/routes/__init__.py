"""Routing and admission control: chooses the pool of a request and decides whether it is admitted.

The decisions are pure: they use no I/O, and clocks and random generators only where these are passed in. The
package contains the routing table (`table`), the split of a route's requests over pools (`split`), priority
tiers within a pool (`tiers`) and admission limits (`admission`). It imports neither the core nor protocols.
"""

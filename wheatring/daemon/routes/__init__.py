"""Which pool a request goes to, and whether it is admitted: decided before the request gets a place.

The decisions are pure: no I/O, no clock and no randomness except what is passed in. The package holds the
routing table (`table`), the split of one route's requests over pools (`split`), priority tiers within a pool
(`tiers`) and admission limits (`admission`). It imports nothing of the core or of the protocols.
"""

"""The tests: a tree that mirrors `wheatring`, so that the tests of a package are found by its path.

Besides, there are `system` (whole processes, and fleets across several packages), `rollout` (this version
beside the previous one), `repository` (the layers of imports, the documentation) and `support` (what several
packages share).
"""

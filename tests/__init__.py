"""The tests: a tree that mirrors `wheatring`, so that the path of a package leads to its tests.

Further packages are `system` (whole processes, and fleets across several packages), `rollout` (this version
beside the previous one), `repository` (the layers of imports, the documentation) and `support` (shared
helpers).
"""

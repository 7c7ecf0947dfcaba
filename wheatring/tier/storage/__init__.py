"""Replicated storage of turns and budgets.

A storage process holds one replica (`replica`, its records in `record_table`) and copies what it lacks when
the placement changes (`repair`, `copier`). A sidecar reads and writes through `quorum_client`.
"""

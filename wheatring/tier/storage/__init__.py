"""Replicated storage of turns and budgets.

A storage process runs one replica (`replica`, with its records in `record_table`), which copies missing
records from other replicas when the placement changes (`repair`, `copier`). Sidecars read and write through
`quorum_client`.
"""

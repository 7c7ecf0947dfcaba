"""Replicas that keep turns and budgets, and the quorum client that reads and writes them."""

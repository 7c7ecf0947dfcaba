"""Placement of keys on storage members."""

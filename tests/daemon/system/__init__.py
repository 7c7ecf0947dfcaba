"""Tests of complete processes, and of fleets across several packages."""

"""Tests of whole processes, and of fleets across several packages."""

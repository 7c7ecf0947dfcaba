"""Tests of the repository itself: the layers of imports, the documentation, the list of known failures."""

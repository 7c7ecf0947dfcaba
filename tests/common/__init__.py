"""Tests of what both programs share."""

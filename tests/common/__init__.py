"""Tests of the modules that both programs share."""

"""Captures of the balancer's inputs and decisions in a ring of files, and their replay."""

"""Captures of the decision module's inputs and decisions in a ring of files, and their replay."""

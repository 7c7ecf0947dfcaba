"""Turns of agent programs: the chain of a conversation and the body made from it."""

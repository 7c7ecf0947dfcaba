"""The demonstration: a small complete tier on loopback, and a conversation through it."""

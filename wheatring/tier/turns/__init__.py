"""Turns of agent programs: storage of conversations, and the prompts built from them."""

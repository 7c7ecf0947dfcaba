"""Turns of agent programs: the conversation behind a turn and the prompt made from it."""

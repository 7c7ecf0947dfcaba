"""Starts a role of the serving tier from the precompiled copy of the program under target/app."""

from wheatring.tier.__main__ import main

main()

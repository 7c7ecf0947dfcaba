"""Starts a role of the serving tier from the precompiled copy of the program under target/app."""

from wheatring.tier.start import main

main()

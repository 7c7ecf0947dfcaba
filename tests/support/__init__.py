"""What the tests of several packages share: worlds, processes, and an event loop in virtual time."""

"""Mutation testing of guards: each is mutated in a scratch copy, and the tests are run."""

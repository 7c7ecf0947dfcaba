"""A search for guards that no test holds: each is broken in a scratch copy, and the tests are run."""

"""Links: what lies between two processes of a live run, and can be broken while it carries bytes.

A link is named `FROM>TO` by who connects and whom to. It has a port of its own at a relay, which carries what
comes there on to the other end. Relays are processes of their own (`relay`); the run tells them by lines of
JSON what each of their links does (`link_state`). `link_controller` is the run's side of it.
"""

"""Links between the processes of a live run, which inject network faults into their traffic.

A link is named `FROM>TO`, after the party that connects and its target. It has a port of its own at a relay,
which forwards connections to the target. Relays are separate processes (`relay`); the run controls the state
of their links (`link_state`) by lines of JSON. `link_controller` is the run's side of this.
"""

"""Fleet membership: who is alive, suspected, dead or left, and the agreed membership view.

Deciders without I/O; imported only where the configuration file has a `[fleet]`. After "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta and Motivala, 2002) and
"Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips and Currey, 2017);
views after "Stable and Consistent Membership at Scale with Rapid" (Suresh et al., 2018).
"""

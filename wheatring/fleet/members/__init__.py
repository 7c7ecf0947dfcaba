"""Fleet membership: which members are alive, suspected, dead or left, and the agreed membership view.

No I/O. Imported only if the configuration file has a `[fleet]` table. Based on "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta and Motivala, 2002) and
"Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips and Currey, 2017);
views are based on "Stable and Consistent Membership at Scale with Rapid" (Suresh et al., 2018).
"""

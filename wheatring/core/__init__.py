"""The core: jobs, claims, deadlines, the one final answer, and the driver of the decision module.

It knows no protocol and decides nothing. It may import the decision module's words, the log and what stands
beside it here.
"""

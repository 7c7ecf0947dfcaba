"""The fleet's one plan: the document, its formats, and how it is offered, surveyed, tried and settled. No
I/O; imported only with `[plan]`.
"""

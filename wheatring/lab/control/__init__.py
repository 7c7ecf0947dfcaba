"""A model checker for the control side: the real deciders of consensus, orders, voters and storage, driven
through every order of events up to a depth, and through long random ones.
"""

"""The controllers: the replicated control state, the operator's API and what they tell the others."""

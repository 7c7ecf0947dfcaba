"""The controllers: they agree on the control state, take the operator's commands and serve subscribers."""

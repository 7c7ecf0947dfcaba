"""Controllers: replicate the control state, apply the operator's commands and serve subscribers."""

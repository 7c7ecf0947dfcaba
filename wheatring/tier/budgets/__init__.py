"""Token budgets of agent programs."""

"""Which storage members hold which key."""

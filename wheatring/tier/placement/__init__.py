"""The rule by which keys are spread over storage members."""

"""The scale measurement: how the cost of control grows with the number of sidecars."""

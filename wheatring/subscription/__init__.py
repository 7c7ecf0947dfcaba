"""How sidecars and storage replicas learn the control state from a controller."""

"""The subscription of sidecars and storage replicas to the control state, which a controller serves."""

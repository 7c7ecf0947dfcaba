"""The subscription of sidecars and storage replicas to the control state of the controllers."""

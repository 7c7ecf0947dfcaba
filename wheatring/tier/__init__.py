"""The serving tier: sidecars, controllers and storage replicas, and its command line."""

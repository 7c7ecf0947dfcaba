"""The settings that one process of the tier is started with: read, checked and followed."""

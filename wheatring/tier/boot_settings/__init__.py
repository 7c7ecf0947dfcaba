"""The settings file of a tier process: parsing, validation and reloading."""

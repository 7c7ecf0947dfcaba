"""The platform's endpoint list: its one reader and its form inside the tier."""

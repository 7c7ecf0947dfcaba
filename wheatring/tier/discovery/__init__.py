"""Discovery of endpoints: the reader of the platform's endpoint list, and its form inside the tier."""

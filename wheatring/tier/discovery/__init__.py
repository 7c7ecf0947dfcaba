"""Discovery of endpoints: reads the platform's endpoint list and converts it to the tier's messages."""

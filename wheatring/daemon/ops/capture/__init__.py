"""What the decision module saw and chose, kept in a ring of files, and the replay of it."""

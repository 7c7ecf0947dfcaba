"""Many pools behind one door: which requests go to which, by the routes of the configuration file.

Imported only where the file has routes. `tables` makes routes of the file's tables, `selection` and `shares`
decide (free of I/O and clocks), `member` is one pool of several, `serve` puts them together.
"""

"""Many pools behind one door: which requests go to which, by the routes of the configuration file.

Imported only where the file has routes. `tables` makes routes of the file's tables, `selection` and `shares`
decide (free of I/O and clocks), `way` and `member` are one route and one pool, `hands` the operators' word
over all lists; `serve` puts them together.
"""

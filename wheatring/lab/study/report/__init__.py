"""Reports: a self-contained HTML page, without external references, for one run or a set of runs.

`plots` draws the SVG plots, `page` writes HTML, `day` and `several` define the contents of the pages.
"""

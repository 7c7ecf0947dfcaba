"""Reports: one page of HTML for a run or for a set of them, which refers to no file or address.

`plots` draws, `page` writes HTML, `day` and `several` say what is on a page.
"""

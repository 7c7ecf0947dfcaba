"""Reports: one page of HTML for a run or for a set of them, whole in itself: it refers to no file or address.

`plots` draws, `page` writes HTML, `day` and `several` say what stands on a page.
"""

"""What the operators turn on: drills, the audit, tokens, captures. Off, nothing here is imported.

May import the core and what stands below it; the faces and the protocols hook it in with a line or two.
"""

"""Many tenants behind one door: who asks, for what, and how much of it is theirs.

Every module here but `door` is free of I/O and of a clock: times come in as Unix seconds, and what a change
of state calls for goes out as a return value or through a callback.
"""

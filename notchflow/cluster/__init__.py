"""Fleet membership, shared token budgets and agreement between instances of the service.

Modules take time and messages as arguments and do no I/O, except `transport.py`, `identity.py`, `history.py`
and `histories.py`.
"""

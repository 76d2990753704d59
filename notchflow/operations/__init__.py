"""Operator functions of a running proxy, as state machines without sockets and without a clock."""

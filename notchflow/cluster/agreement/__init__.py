"""Consensus among the fleet's instances on one log of changes: Raft, as a core without I/O and a thin
driver."""

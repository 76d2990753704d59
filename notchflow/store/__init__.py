"""An embedded store that survives a crash: an append-only log in segments, its index, compaction,
recovery."""

"""An embedded, crash-safe key-value store: an append-only log in segments with an index, compaction and
recovery."""

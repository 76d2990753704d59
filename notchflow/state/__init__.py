"""The persistent state of the hosted service: tenants, keys, tokens and the audit log, in SQLite."""

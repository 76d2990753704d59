"""What the hosted service must not forget: tenants, keys, tokens and the audit log, in SQLite."""

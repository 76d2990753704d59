"""The idempotency store: records requests that must not run twice, across crashes and restarts."""

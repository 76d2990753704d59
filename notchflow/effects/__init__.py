"""What became of requests that must not run twice, also over a crash."""

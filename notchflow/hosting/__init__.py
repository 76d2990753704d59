"""The hosted service: its operator file, and the process that serves by it."""

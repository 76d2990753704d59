"""The hosted service: its operator file, its process, and fleets of such processes on one machine."""

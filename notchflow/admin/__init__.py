"""The administration API: HTTP and JSON on a separate listener, with its own thread and request limits."""

"""The administration API: HTTP and JSON on a listener, a thread and limits of its own."""

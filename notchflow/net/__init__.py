"""The I/O of the proxy: sockets, HTTP framing, timers and limits around the decisions of notchflow.policy."""

"""The decisions of the proxy, without I/O or a clock: which node to use, when to retry, what to shed."""

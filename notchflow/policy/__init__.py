"""Every decision of the proxy, free of I/O and of a clock: which server, whether to retry, what to refuse."""

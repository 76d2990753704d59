"""notchflow: a load-balancing proxy in front of a fleet of cache nodes."""

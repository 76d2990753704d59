"""Stand-ins for what surrounds the proxy, on loopback: boxes, discovery and clients under load.

Shared by tests, benchmarks and the demo. Nothing here is imported by the proxy itself.
"""

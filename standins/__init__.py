"""Test doubles for the proxy's environment, on loopback: nodes, discovery, relays and clients.

Shared by tests, benchmarks and the demo. The proxy itself imports nothing from here.
"""

"""Discrete-event simulation of whole deployments: clients, proxies that run the real policy, nodes, the
origin and discovery."""

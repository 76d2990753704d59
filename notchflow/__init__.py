"""notchflow: routing decisions for a balancer in front of a fleet of cache servers."""

from notchflow.logic import Balancer

__all__ = ["Balancer"]

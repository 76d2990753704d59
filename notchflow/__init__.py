"""notchflow: routing decisions for a balancer in front of a fleet of cache servers."""

from notchflow.policy.balancer import Balancer

__all__ = ["Balancer"]

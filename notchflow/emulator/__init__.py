"""The whole deployment in simulated time: clients, proxies that run the real decisions, boxes, origin,
discovery."""

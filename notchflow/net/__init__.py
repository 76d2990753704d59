"""The real proxy: sockets, framing and budgets around the decisions of notchflow.policy."""

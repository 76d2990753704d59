"""What operators do with a running proxy, as state machines that know neither sockets nor a clock."""

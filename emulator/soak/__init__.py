"""The soak: a few dozen real gateways on loopback under overlapping troubles, judged from outside."""

"""The soak test: a few dozen real gateways on loopback with overlapping faults, checked from outside."""

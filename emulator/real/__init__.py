"""Real gateways as processes on loopback, and stand-ins for all that they speak to."""

"""Real gateways as processes on loopback, and stand-ins for the services that they connect to."""

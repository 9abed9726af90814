"""Scale tests: an emulator of the systems around the gateways.

Two kinds of gateway are driven. *Hollow* gateways are the real decision module without sockets, thousands
of them in one process and in virtual time. *Real* gateways are the program as `deploy/balancer.toml` runs
it, a few processes on loopback before stand-ins that speak the protocol.

Nothing in the gateway imports this package; `python -m emulator --help` tells how to use it.
"""

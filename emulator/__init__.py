"""Scale tests: an emulator of the systems around the gateways.

Two kinds of gateway are driven. *Hollow* gateways run the decision code of a real gateway without sockets,
thousands of them in one process and in virtual time. *Real* gateways are the program as
`deploy/balancer.toml` runs it: a few processes on loopback that talk to stand-ins for servers, counter and
discovery.

The gateway itself imports nothing from this package. `python -m emulator --help` describes its commands.
"""

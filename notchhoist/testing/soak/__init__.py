"""A randomized soak of the real daemons, with faults from outside them.

The daemons run as separate processes on loopback. Everything around them is in
one process with one event loop: callers and backend servers (the models of
``notchhoist.testing.opaque`` on real sockets), routers, the store, and proxies
on every path between two daemons and between a daemon and the store. A seed
decides what goes wrong and when.

* ``addresses``: loopback addresses of a run.
* ``datagram_proxy``: datagrams between daemons: delay, loss, cuts.
* ``stream_proxy``: connections to the store: delay, resets, silence.
* ``store_port``: the store over HTTP.
* ``daemons``: settings files and processes.
* ``routers``: hands callers' packets to balancers that are ready.
* ``ends``: callers and backend servers on sockets.
* ``fleet``: all of it put together.
* ``troubles``: what can go wrong, by name.
* ``plan``: which of it comes when, by seed.
* ``promises``: what must hold beside what the judge sees.
* ``seeds``: seeds that have ever failed.
* ``run``: the command line.

    python -m notchhoist.testing.soak.run --seed 1
"""

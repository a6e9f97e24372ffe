"""A randomized soak test of the real daemons under injected troubles.

The daemons run as separate processes on loopback. Everything around them is in
one process with one event loop: callers and backend servers (the models of
``notchhoist.testing.opaque`` on real sockets), routers, the store, and proxies
on every path between two daemons and between a daemon and the store. A trouble
is a fault or a planned operation. The seed determines which troubles occur and
when.

* ``addresses``: loopback addresses of one run.
* ``datagram_proxy``: datagrams between daemons: delay, loss, partitions.
* ``stream_proxy``: connections to the store: delay, resets, stalls.
* ``store_port``: serves the store model over HTTP.
* ``daemons``: settings files and processes of the daemons.
* ``routers``: forward callers' packets to ready balancers.
* ``endpoints``: callers and backend servers on real sockets.
* ``fleet``: the daemons and everything around them.
* ``troubles``: the troubles by name; each subject has a module of its own,
  such as ``start_troubles``.
* ``plan``: the schedule of troubles for a seed.
* ``final_checks``: checks at the end of a run, beside those of the judge.
* ``seeds``: regression seeds.
* ``run``: the command line.

    python -m notchhoist.testing.soak.run --seed 1
"""

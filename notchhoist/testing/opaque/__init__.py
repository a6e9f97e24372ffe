"""A discrete-event simulation of a deployment that carries opaque flows.

It runs the real nodes of ``notchhoist.flows`` and the real codecs of
``notchhoist.platform`` on a simulated clock. Everything around them is
simulated:

* ``frames``: packets as the two ends of a flow make and check them.
* ``streams``: one end of a flow: window, acknowledgements,
  retransmissions.
* ``traffic``: the kinds of requests that callers send.
* ``servers``: backend servers with slots, a queue and announcements.
* ``callers``: callers that retry by the platform's rules.
* ``store``: the store, and the ways in which it fails.
* ``judge``: checks the guarantees by what callers and backend servers saw.
* ``config_judge``: checks the configuration at each balancer.
* ``hosts``: a host and the processes on it.
* ``published``: documents that are published in the store.
* ``store_link``: requests to the store in transit.
* ``routers``: choose the balancer for a packet; ``links``: limit bandwidth.
* ``network``: delays, packet loss, partitions.
* ``world``: hosts, servers and callers on one clock.
* ``troubles``: injected faults and planned operations: kills, power losses,
  freezes, planned stops.
* ``scenarios``: named combinations of troubles.
* ``report``: the outcome of a run, as text.
* ``record``: the outcome of a run, second by second, as JSON.
* ``experiment``: the command line.
* ``restores``, ``changes``: random runs of one kind, each with a command line.
* ``page``: records as an HTML page with charts.
"""

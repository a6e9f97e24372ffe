"""A stand-in of the platform that carries opaque flows, on its own clock.

The real nodes of ``notchhoist.flows`` and the real codecs of
``notchhoist.platform`` run in it; everything around them is small and ours:

* ``frames``: packets as the ends of flows make and check them.
* ``streams``: one end of a flow: window, acknowledgements, copies.
* ``traffic``: what callers ask for.
* ``servers``: backend servers with slots, a queue and announcements.
* ``callers``: callers with retries by the platform's rules.
* ``store``: the store, and each way in which it misbehaves.
* ``judge``: what must hold, from what callers and backend servers saw.
* ``config_judge``: what must hold of the configuration at each balancer.
* ``hosts``: a host and what runs on it.
* ``published``: documents in the store.
* ``store_link``: calls to the store on their way.
* ``routers``: which balancer gets a packet; ``links``: what a link carries.
* ``network``: delays, losses, cuts.
* ``world``: hosts, servers and callers on one clock.
* ``troubles``: kills, power, freezes, planned stops.
* ``scenarios``: troubles put together, by name.
* ``report``: the outcome of a run, as text.
* ``record``: the outcome of a run, second by second, as JSON.
* ``experiment``: the command line.
* ``restores``, ``changes``: random days of one kind, each with a command line.
* ``page``: records as a page with pictures.
"""

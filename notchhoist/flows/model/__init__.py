"""Types that balancers and agents share: packets, messages, published state.

Each module imports only those listed above it:

* ``revisions``: revisions that stay ordered across restores of the store.
* ``ranges``: ranges of published values.
* ``mechanisms``: switches that disable mechanisms.
* ``segments``: a decoded packet, and the ``Protocol`` of the packet codec.
* ``request_hints``: hints on a flow's requests and on how long their caller
  waits.
* ``notes``: the bytes of a packet that balancers and agents use themselves.
* ``fleet``: routes and backend servers as the platform publishes them.
* ``view``: the published state by revision, to send only what changed.
* ``messages``: control messages between processes.
* ``effects``: what a node asks its runtime to do.
* ``backend_flows``: the flows of one backend server, as its agent tracks them.
* ``records``: counters, latencies and decisions for operators.
"""

"""What balancers and agents share: packets, messages and published facts.

From the top down, each module imports only those above it:

* ``mechanisms``: switches to put mechanisms out of use.
* ``segments``: a packet as the decisions see it, and the codec's ``Protocol``.
* ``wishes``: what a request wishes for, and how long its caller waits.
* ``notes``: what balancer and agent tell each other inside a packet.
* ``fleet``: services' routes and backend servers as the platform lists them.
* ``view``: the same by revision, so that differences can travel.
* ``messages``: control messages between processes.
* ``effects``: what a node asks its runtime to do.
* ``held``: the flows of one backend server, as its agent sees them.
* ``records``: counters, latencies and decisions for operators.
"""

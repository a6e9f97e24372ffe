"""Pure decisions: placement of new flows, slot allocation and load shedding.

These modules send nothing and read no clock. From the top down:

* ``splitting``: which service of a route gets a new flow.
* ``reaching``: how much a server of a remote zone must be better.
* ``placing``: selection of a backend server.
* ``attempts``: how many servers are asked for a free slot.
* ``failing``: detection of failing backend servers by their answer times.
* ``completeness``: whether every server that may hold a flow is known.
* ``ending``: whether a backend server with a silent agent has exited.
* ``holding``: requests that wait for a slot; ``queueing``: who gets one.
* ``bearing``: the cold bound, a limit on new flows to a server in slow start.
* ``early``: packets that arrive before a balancer knows any route.
"""

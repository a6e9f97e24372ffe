"""Pure decisions: placement of new flows, slot allocation and load shedding.

These modules send nothing and read no clock. From the top down:

* ``splitting``: which service of a route gets a new flow.
* ``zone_distance``: how much a server of a remote zone must be better.
* ``server_selection``: selection of a backend server.
* ``attempts``: how many servers are asked for a free slot.
* ``failure_detection``: detection of failing backend servers by their answer
  times.
* ``completeness``: whether every server that may hold a flow is known.
* ``server_exit``: whether a backend server with a silent agent has exited.
* ``queued_requests``: requests that wait for a slot; ``queueing``: who gets
  one.
* ``slow_start``: the cold bound, a limit on new flows to a server in slow
  start.
* ``early_packets``: packets that arrive before a balancer knows any route.
"""

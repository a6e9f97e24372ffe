"""Opaque flows: packets of connections that only their two ends may read.

A balancer forwards a caller's packets to an agent; the agent hands them to the
backend server beside it and sends the answers straight to the caller. Nothing
here does I/O, reads a clock or knows how a packet is laid out: ``segments``
holds what a codec must tell. From the top down, each module imports only those
above it:

* ``mechanisms``: switches to put mechanisms out of use.
* ``segments``: a packet as the decisions see it, and the codec's ``Protocol``.
* ``notes``: what balancer and agent tell each other inside a packet.
* ``fleet``: services' routes and backend servers as the platform lists them.
* ``effects``: what a node asks its runtime to do.
* ``messages``: control messages between processes.
* ``wishes``: what a request wishes for, and how long its caller waits.
* ``placing``: pure functions that choose a backend server.
* ``failing``: how well a backend server answers, by the times of its answers.
* ``held``: the flows of one backend server, as its agent sees them.
* ``holding``: requests that wait for a slot; ``queueing``: who gets one.
* ``early``: packets that come before a balancer knows any route.
* ``boards``: the blackboard of each role.
* ``completeness``: a pure function on whether every server is known.
* ``confirming``, ``liveness``, ``health``, ``resetting``, ``opening``,
  ``questions``, ``trying``, ``finding``, ``fleet_keeper``, ``sharing``,
  ``isolation``: the balancer's controllers;
  ``admitting``, ``backend_watch``, ``telling``: the agent's.
* ``balancer``, ``agent``: the two nodes.

Modules are imported by name; see ``notchhoist.base`` for the reason.
"""

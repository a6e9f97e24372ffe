"""The balancer's controllers and its node.

From the top down, each module imports only those above it:

* ``resetting``: ends flows; ``confirming``: asks the platform for what is new.
* ``distances``: how far agents are.
* ``liveness``, ``health``, ``isolation``: who is there.
* ``informing``: tells agents what is published of their servers.
* ``targeting``: the service of a new flow; ``locality``: how far it is sent;
  ``accepting``: what becomes of an offer; ``opening``: new flows.
* ``forwarding``: packets of flows that are placed.
* ``questions``, ``trying``, ``evidence``, ``scope``, ``search_records``,
  ``finding``: flows that are not known here; ``rejoining``: what becomes of
  them once they are found.
* ``resting``: flows whose server ends while they rest.
* ``node``: puts them together.

A caller's packet is kept by ``decisions.early`` until routes and servers are
known. Then ``opening`` takes it if it opens a flow, ``forwarding`` if its flow
is placed, and ``finding`` otherwise. An agent's packet first tells ``health``
that the agent lives; an answer to an offer then goes to ``opening``, and all
else to ``finding``.
"""

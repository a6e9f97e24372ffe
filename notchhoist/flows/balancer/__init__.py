"""The balancer's controllers and its node.

From the top down, each module imports only those above it:

* ``resetting``: ends flows; ``confirming``: asks the platform for what is new.
* ``distances``: how far agents are.
* ``liveness``, ``health``, ``isolation``: who is there.
* ``informing``: tells agents what is published of their servers.
* ``reaching``: how far new flows are sent; ``accepting``: what becomes of an
  offer; ``opening``: new flows.
* ``questions``, ``trying``, ``evidence``, ``finding``: flows that are not known
  here; ``rejoining``: what becomes of them once they are found.
* ``node``: puts them together.
"""

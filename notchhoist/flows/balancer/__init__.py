"""The balancer's controllers and its node.

From the top down, each module imports only those above it:

* ``resetting``: ends flows; ``confirming``: asks the platform for what is new.
* ``distances``: how far agents are.
* ``liveness``, ``health``, ``isolation``: who is there.
* ``informing``: tells agents what is published of their servers.
* ``choosing``, ``parking``, ``opening``, ``binding``: new flows; an opening
  packet comes to ``opening``, which leaves to ``parking`` what is to wait, and
  ``binding`` gives that to a server.
* ``questions``, ``trying``, ``evidence``, ``finding``: flows that are not known
  here; ``rejoining``: what becomes of them once they are found.
* ``node``: puts them together.
"""

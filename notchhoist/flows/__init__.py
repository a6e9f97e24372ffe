"""Layer-4 load balancing of opaque flows: connections with unreadable payload.

A balancer forwards a caller's packets to an agent. The agent hands them to the
backend server on its host and sends the answers directly to the caller. Nothing
here does I/O, reads a clock or knows the layout of a packet:
``model.segments`` defines what a packet codec provides. Each subpackage imports
only those listed above it:

* ``model``: types that both roles share: packets, messages, published state.
* ``codec``: the encoding of the control messages.
* ``decisions``: pure functions and small classes that make decisions.
* ``boards``: the blackboard (shared state) of each role.
* ``published``: how a balancer learns what the platform publishes.
* ``balancer``, ``agent``: the controllers and the node of each role; neither
  imports the other.

Modules are imported by name; see ``notchhoist.base`` for the reason.
"""

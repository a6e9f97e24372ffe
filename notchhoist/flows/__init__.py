"""Opaque flows: packets of connections that only their two ends may read.

A balancer forwards a caller's packets to an agent; the agent hands them to the
backend server beside it and sends the answers straight to the caller. Nothing
here does I/O, reads a clock or knows how a packet is laid out:
``model.segments`` holds what a codec must tell. From the top down, each
subpackage imports only those above it:

* ``model``: what both roles share: packets, messages, published facts.
* ``codec``: the encoding of the control messages.
* ``decisions``: pure functions and small classes that choose.
* ``boards``: the blackboard of each role.
* ``published``: how a balancer learns what the platform publishes.
* ``balancer``, ``agent``: the controllers and the node of each role; neither
  imports the other.

Modules are imported by name; see ``notchhoist.base`` for the reason.
"""

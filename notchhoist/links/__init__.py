"""Egress scheduling of a host's datagrams by the bandwidth of its link.

A link drops datagrams beyond its capacity without telling the sender. On a
low-bandwidth link a process therefore paces what it sends, queues the rest and
chooses itself which datagrams to drop. Nothing here does I/O or reads a clock.
The modules, of which each imports only those above it:

* ``packets``: an outgoing datagram with the fields that scheduling needs.
* ``backlogs``: queueing disciplines: order of sending, choice of drops.
* ``scheduler``: pacing: how much may be sent now, and when to check again.

Modules are imported by name; see ``notchhoist.base`` for the reason.
"""

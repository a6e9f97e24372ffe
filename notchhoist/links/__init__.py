"""Scheduling of what leaves a host, by what its link carries.

A link drops what does not fit, and nobody tells the sender. On a narrow one a
process therefore lets no more leave than the link carries, keeps the rest in
order, and chooses itself what to drop. Nothing here does I/O or reads a clock.
From the top down, each module imports only those above it:

* ``packets``: a datagram that is to leave, with what its place depends on.
* ``backlogs``: orders in which datagrams leave, and what is dropped.
* ``scheduler``: how many may leave now, and when to look again.

Modules are imported by name; see ``notchhoist.base`` for the reason.
"""

"""Modules that every process needs: addresses, errors, sockets, hashing.

This package imports nothing itself: a daemon must be listening within a
fraction of a second and loads only the modules that it names. They are:

* ``identifiers``: endpoints and flow keys.
* ``errors``: exception types of the system.
* ``rendezvous``: rendezvous hashing, with the same result in every process.
* ``draws``: fast pseudorandom numbers.
* ``datagrams``: non-blocking UDP sockets.
"""

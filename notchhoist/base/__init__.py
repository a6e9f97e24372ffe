"""What even the smallest process needs: addresses, errors, ranking.

Nothing is imported here, so that a daemon that must be listening within a
fraction of a second loads only the modules it names. From the top down:

* ``identifiers``: endpoints and flow keys.
* ``errors``: the typed failures.
* ``rendezvous``: ranking that every process computes alike.
"""

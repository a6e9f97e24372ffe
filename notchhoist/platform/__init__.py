"""Everything that knows the platform's names and formats, and nothing else.

From the top down; each module imports only those above it:

* ``checking``: fields of decoded JSON, with errors that name the place.
* ``packets``: the packets of flows.
* ``documents``: the configuration and the backend servers' entries.
* ``eras``: which state of the store an answer is of.
* ``settings``: the settings file of a process.
* ``changes``: what watches on the store have told.
* ``calls``: a call to the store, and how long it may take.
* ``store``: which call to make next to the platform's store, and what its
  answers mean.
* ``unnamed_eras``: restores of a store that does not say so.
* ``feeding``: when a balancer calls it, and what it then learns.
* ``readiness``: the question whether a process is ready.

What the rest of the package gets are the types of ``notchhoist.flows``.
"""

"""How a balancer learns the state that the platform publishes.

From the top down, each module imports only those above it:

* ``budget``: divides the propagation deadline of a change.
* ``eras``: preserves the view over restores of the platform's store.
* ``zones``: tracks which availability zones are evacuated.
* ``reroutings``: tracks whether routes may have named other services before.
* ``tables``: applies configurations of the platform and of other balancers.
* ``fleet_updater``: applies published changes to the blackboard.
* ``states``: the state of a backend server that its agent is sent.
* ``parts``: splits a change into messages and reassembles it.
* ``membership``: knows the balancers and selects those that read the store.
* ``reconciliation``: reconciles views that should be equal.
* ``view_sync``: synchronizes views, so that only a few balancers read the
  store.
"""

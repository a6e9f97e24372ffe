"""The agent's controllers and its node.

From the top down, each module imports only those above it:

* ``refusing``: tells callers that get no slot.
* ``admitting``: shares out the slots of the backend server.
* ``backend_watch``: notices when the backend server has ended.
* ``load_counting``: counts its load; ``replies``: what goes back to balancers.
* ``vacancies``: counts the slots that are free for new flows.
* ``bearing``, ``calling``, ``offering``: which new flows the backend server
  gets; an opening packet comes to ``offering``, a reservation to ``calling``.
* ``telling``: tells balancers which flows are here.
* ``handover``: packets of flows that should be here.
* ``node``: puts them together.
"""

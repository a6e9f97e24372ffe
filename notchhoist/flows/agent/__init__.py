"""The controllers of an agent and the node that combines them.

From the top down, each module imports only those above it:

* ``refuser``: refuses requests that get no slot.
* ``request_gate``: admits requests to the slots of the backend server.
* ``backend_watch``: detects that the backend server has exited.
* ``load_counting``: counts its load; ``replies``: sends replies to balancers.
* ``vacancies``: tracks which slots are free for new flows.
* ``bearing``: decides whether the backend server may get a new flow.
* ``flow_offers``: offers new flows to the backend server.
* ``telling``: answers balancers that search for flows.
* ``packet_forwarder``: forwards packets of existing flows.
* ``resting``: resets idle flows whose server has exited.
* ``node``: combines the controllers.
"""

"""The controllers of an agent and the node that combines them.

From the top down, each module imports only those above it:

* ``refuser``: refuses requests that get no slot.
* ``request_gate``: admits requests to the slots of the backend server.
* ``backend_watch``: detects that the backend server has exited.
* ``load_counter``: counts its load; ``replies``: sends replies to balancers.
* ``free_slots``: tracks which slots are free for new flows.
* ``opening_gate``: decides whether the backend server may get a new flow.
* ``flow_offers``: offers new flows to the backend server.
* ``flow_lookup``: answers balancers that search for flows.
* ``packet_forwarder``: forwards packets of existing flows.
* ``idle_survey``: resets idle flows whose server has exited.
* ``node``: combines the controllers.
"""

"""How a balancer learns what the platform publishes.

From the top down, each module imports only those above it:

* ``budget``: how the time until a change must be in force is divided.
* ``eras``: carries what is known over restores of the platform's store.
* ``zones``: which availability zones are evacuated.
* ``tables``: a configuration as another balancer tells it.
* ``fleet_keeper``: takes news into the blackboard; nothing goes back.
* ``states``: what an agent is told of its backend server.
* ``parts``: cuts a view into messages and puts it together again.
* ``membership``: which balancers there are, and which of them read the store.
* ``mending``: has everything told or read anew where views differ.
* ``sharing``: balancers tell each other, so that only a few read the platform.
"""

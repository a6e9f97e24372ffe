"""How a balancer learns what the platform publishes.

* ``fleet_keeper``: takes news into the blackboard; nothing goes back.
* ``sharing``: balancers tell each other, so that only a few read the platform.
"""

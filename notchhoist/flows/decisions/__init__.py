"""Pure decisions: who gets a flow, who gets a slot, who is told no.

Nothing here sends anything or reads a clock. From the top down:

* ``splitting``: which service of a route gets a new flow.
* ``reaching``: what it is worth to stay in the own zone.
* ``placing``: pure functions that choose a backend server.
* ``attempts``: how many servers are asked for a free slot.
* ``failing``: how well a backend server answers, by the times of its answers.
* ``completeness``: whether every server that may hold a flow is known.
* ``holding``: requests that wait for a slot; ``queueing``: who gets one.
* ``bearing``: how many new flows a cold backend server gets.
* ``early``: packets that come before a balancer knows any route.
"""

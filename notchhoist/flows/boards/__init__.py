"""Blackboards: the state that the controllers of each role read and write.

``balancer_board`` and ``agent_board`` do not import each other.
"""

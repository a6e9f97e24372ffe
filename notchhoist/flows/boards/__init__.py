"""The blackboard of each role: what its controllers read and write.

``balancer_board`` and ``agent_board`` do not import each other.
"""

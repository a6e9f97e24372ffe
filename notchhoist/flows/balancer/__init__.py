"""Controllers of the balancer and the node that combines them.

The modules in dependency order; each imports only modules listed before it:

* ``resetting``: resets flows; ``confirming``: asks the platform to confirm the
  list of servers.
* ``distances``: round-trip times to agents.
* ``liveness``, ``lost_flows``, ``health``, ``isolation``: failure detection for
  hosts, agents and this balancer, and the flows of lost servers.
* ``informing``: sends agents the published state of their servers.
* ``targeting``: chooses the service of a new flow; ``locality``: weighs the
  network distance of servers; ``offer_choice``: chooses the server of an offer;
  ``accepting``: outcomes of offers; ``opening``: places new flows;
  ``service_identity``: learns which service an agent runs.
* ``forwarding``: forwards packets of placed flows.
* ``flow_queries``, ``sample_packets``, ``absence``, ``scope``,
  ``search_records``, ``finding``: search for flows that this balancer does not
  know; ``resuming``: handles flows once they are found.
* ``idle_flows``: idle flows whose server may be down.
* ``caller_packets``: routes the packets of callers.
* ``node``: combines the controllers.

``decisions.early_packets`` buffers a caller's packet until routes and servers
are known. The packet then goes to ``opening`` if it opens a flow, to
``forwarding`` if its flow is placed, and to ``finding`` otherwise. A packet
from an agent first tells ``health`` that the agent is alive; the answer to an
offer then goes to ``accepting`` or ``opening``, everything else to ``finding``.
"""

"""Odd values of each JSON type, and a small fleet that reads them.

The fleet has a balancer that reads the store, one that gets the view from it,
and the agents of the servers. Each message between them is encoded and decoded.
"""

import copy
import json
import random
from urllib.parse import parse_qsl, urlsplit

from notchhoist.base.draws import make_draw
from notchhoist.daemon.decision_groups import group_decisions
from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.flow_metrics import metrics_text
from notchhoist.daemon.flow_state import (
    _AGENT_SECTIONS,
    _BALANCER_SECTIONS,
    answer_state,
)
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import BalancerNode, make_balancer
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.effects import SendPeer
from notchhoist.links.scheduler import make_scheduler
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.store import StoreReader
from notchhoist.testing.opaque.store import StoreModel

READER, TOLD = "10.0.0.1", "10.0.0.2"
DATAGRAM_BYTES_MAX = 65_507
LINE_BYTES_MAX = 20_000
MESSAGES_MAX = 500
PLACEHOLDER = "@@"

ODD_TEXTS = [
    *("null", "true", "false", "0", "-0", "1", "-1", "0.5", "-0.0", "5e-324"),
    *("1e308", "-1e308", "1e400", "NaN", "Infinity", "1.0", "1e2"),
    *(
        str(sign * (1 << bits))
        for bits in (31, 32, 53, 63, 64)
        for sign in (1, -1)
    ),
    *(str((1 << bits) - 1) for bits in (31, 53, 63, 64)),
    *("999999999999999", "1000000000000000", "1" * 400, "1" * 4299, "1" * 5000),
    *('""', '"x"', '" "', '"op/config"', '"servers/i-1"', '"servers/"'),
    *(
        r'"\u0000"',
        r'"\n"',
        r'"\ud800"',
        r'"\u202e"',
        r'"\ud83d\ude00"',
        '"\xe9"',
    ),
    *(json.dumps("n" * count) for count in (200, 201, 70_000, 400_000)),
    *(json.dumps("\xe9" * count) for count in (100, 101, 40_000)),
    *(
        '"ready"',
        '"draining"',
        '"hallbook"',
        '"/443/"',
        '"safe"',
        '"MQ=="',
        '"Q"',
    ),
    *('"10.9.0.1:80"', '"0.0.0.0:80"', '"10.9.0.1:0"', '"10.9.0.1:65536"'),
    *('"255.255.255.255:1"', '"10.9.0.01:1"', f'"10.9.0.1:{"1" * 5000}"'),
    *("[]", "{}", "[[]]", '{"a": 1}', "[null]", '["a"]', '[{"service": "a"}]'),
    *("[" * depth + "]" * depth for depth in (50, 500, 900, 985, 1000, 5000)),
    *('{"a":' * depth + "1" + "}" * depth for depth in (50, 900, 985, 5000)),
    "[" + "0," * 50_000 + "0]",
    *(
        '{"key": "servers/i-1"}',
        '[{"key": "servers/i-1"}]',
        '[{"key": 3}]',
        "",
        "}",
    ),
]
"""JSON texts, some of which no decoder accepts."""


def with_odd_text(document, path, text):
    """Returns the JSON text of a document with a text in place of a field."""
    changed = copy.deepcopy(document)
    place = changed
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = PLACEHOLDER
    encoded = json.dumps(changed).replace(json.dumps(PLACEHOLDER), text)
    return encoded.encode("utf-8", "surrogatepass")


class Fleet:
    """A store, a balancer that reads it, one that is told, and their agents."""

    def __init__(self, page_size=500):
        self.model = StoreModel(random.Random(1), page_size=page_size)
        self.codec = PacketCodec()
        node = self._make_balancer(READER)
        self.feeder = StoreFeeder(node, StoreReader(make_draw("reader")))
        self.told = self._make_balancer(TOLD)
        self.agents = {}
        self.lines = []
        self.journal = FlowJournal(
            "h", lambda: self.now, lambda: self.now, self.lines.append
        )
        self.now = 1.0

    def _make_balancer(self, host):
        return make_balancer("a", self.codec, host, host, (READER, TOLD), 100)

    @property
    def board(self):
        return self.feeder.node.board

    def answer(self, target):
        """Returns the store's status and body for a call."""
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/kv-range":
            return 200, self.model.read_range(query)
        status, body = self.model.read_changes(query)
        return status, self.model.watch_body() if body is None else body

    def call(self, change=lambda body: body):
        """Makes the next call; ``change`` returns what the balancer gets."""
        self.now = max(self.now + 0.3, self.feeder.reader.due)
        call = self.feeder.next_call(self.now)
        if call is not None:
            status, body = self.answer(call.target)
            headers = self.model.headers()
            self.feeder.on_answer(status, change(body), self.now, headers)
        self.exchange()
        return call

    def confirm(self, change):
        """Confirms the view, as before a search that finds nothing."""
        call = self.feeder.confirming_call(self.now)
        status, body = self.answer(call.target)
        headers = self.model.headers()
        self.feeder.on_confirmation(status, change(body), self.now, headers)
        self.exchange()

    def follow(self):
        """Makes calls until all is known; fails if that takes too many."""
        for _ in range(12):
            self.call()
            known = self.feeder.reader.revision % 10**15 == self.model.revision
            if known and self.feeder.reader.answer_complete:
                return
        raise AssertionError("the balancer does not follow the store")

    def exchange(self):
        """Runs what is due, delivers all messages and writes the logs."""
        nodes = {READER: self.feeder.node, TOLD: self.told}
        for _ in range(2):
            self.now += 0.3
            queue = [
                (host, effect)
                for host, node in [*nodes.items(), *self.agents.items()]
                for effect in node.tick(self.now)
            ]
            delivered = 0
            while queue:
                sender, effect = queue.pop(0)
                if not isinstance(effect, SendPeer):
                    continue
                delivered += 1
                assert delivered <= MESSAGES_MAX
                data = encode_message(effect.message)
                assert len(data) <= DATAGRAM_BYTES_MAX
                receiver = nodes.get(effect.host) or self._agent(effect.host)
                effects = receiver.on_peer(
                    sender, decode_message(data), self.now
                )
                queue += [(effect.host, item) for item in effects]
        for node in (*nodes.values(), *self.agents.values()):
            self._write_log(node)

    def write_state(self):
        """Writes the state dump and the metrics of each process."""
        for node in (self.feeder.node, self.told, *self.agents.values()):
            balances = isinstance(node, BalancerNode)
            text = metrics_text(node, balances, self.now, make_scheduler(0.0))
            assert text.isascii()
            sections = _BALANCER_SECTIONS if balances else _AGENT_SECTIONS
            for path in ("/health", *(f"/dump/{name}" for name in sections)):
                reply = answer_state(node, "h", "a", path, self.now)
                assert reply.status == 200
                json.loads(reply.body)

    def _agent(self, host):
        if host not in self.agents:
            self.agents[host] = make_agent("hallbook", self.codec, 0.0)
        return self.agents[host]

    def _write_log(self, node):
        for decision in group_decisions(node.board.records.decisions):
            self.now += 1.0 / 64
            self.journal.log(
                decision.event, outcome=decision.outcome, **decision.inputs
            )
        node.board.records.decisions.clear()
        assert all(len(line) <= LINE_BYTES_MAX for line in self.lines)

    def logged(self, event):
        """Returns the outcomes of the log lines of an event."""
        lines = [json.loads(line) for line in self.lines]
        return [
            line["outcome"] for line in lines if line["message_type"] == event
        ]

"""Odd inputs for daemons on simulated sockets.

    python -m notchhoist.daemon.tests.fuzzing SEED INPUTS

Every exception leaves ``Fuzzer.run``, as the loops have no handler for it.
"""

import base64
import collections
import json
import random
import sys
from collections.abc import Callable

from notchhoist.base.errors import CodecError
from notchhoist.daemon.ports import SocketRole
from notchhoist.daemon.tests.simulated_daemons import (
    AGENT,
    BALANCERS,
    PEER_PORTS,
    Process,
)
from notchhoist.flows.codec.message_codec import encode_message
from notchhoist.flows.codec.tests.messages import MESSAGES, changed_copy
from notchhoist.flows.model import notes
from notchhoist.flows.model.records import Count
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC

TAG = notes.service_tag(crafting.SERVICE)
INPUTS_PER_LIFE = 400
"""Inputs until all processes start again, so that odd state does not last."""

EXTREMES = (
    *(0, -1, 1, 255, 256, 65_535, 1 << 31, (1 << 63) - 1, 1 << 63, 1 << 64),
    *(
        -(1 << 63),
        1e308,
        -1e308,
        1e-308,
        0.5,
        True,
        None,
        "",
        "a",
        "\0",
        [],
        {},
    ),
    *("9" * 5000, "é" * 300, [[[]]], {"a": {}}, "10.0.0.1:1", "10.0.0.1:99999"),
)
SECTIONS = (
    *("servers", "flows", "services", "zones", "pressure", "splits", "peers"),
    *("distances", "problems", "counters", "decisions", "backend", "requests"),
)


class Fuzzer:
    """Two balancers and an agent, and a source of odd inputs."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.now = 1000.0
        self.inputs = collections.Counter()
        self.counters = collections.Counter()

    def start(self):
        """Starts all processes; balancers read the store."""
        draw = self.draw
        self.network = {}
        self.version = self.revision = 0
        self.odd_share = draw.choice((0.0, 0.05, 0.4))
        self.messages = draw.choice((MESSAGES, MESSAGES[:5]))
        clock = lambda: self.now  # noqa: E731
        self.balancers = [
            Process(self.network, clock, ip, True) for ip in BALANCERS
        ]
        self.agent = Process(self.network, clock, AGENT, False)
        self.processes = [*self.balancers, self.agent]
        self.kinds: list[Callable[[], None]] = [
            self.caller_packet,
            self.caller_packet,
            self.control_message,
            self.control_message,
            self.control_message,
            self.peer_packet,
            self.peer_packet,
            self.store_answer,
            self.store_answer,
            self.http_request,
        ]

    def run(self, count):
        """Gives a number of inputs to the daemons."""
        for number in range(count):
            if number % INPUTS_PER_LIFE == 0:
                self.start()
            kind = self.draw.choice(self.kinds)
            kind()
            self.inputs[kind.__name__] += 1
            self.now += self.draw.choice((0.0, 0.0005, 0.005, 0.05, 0.3))
            for process in self.processes:
                process.read()
                process.loop.run_once()
            if number % INPUTS_PER_LIFE in (50, INPUTS_PER_LIFE - 1):
                self.check()
            if number % INPUTS_PER_LIFE == INPUTS_PER_LIFE - 1:
                for process in self.processes:
                    self.counters += process.node.board.records.counters

    def check(self):
        """Each process answers, and each of its log lines is JSON."""
        for process in self.processes:
            for section in SECTIONS:
                request = f"GET /dump/{section} HTTP/1.1\r\n\r\n".encode()
                assert process.request(request)[9:12] in (b"200", b"404")
            for path in (b"/metrics", b"/health"):
                reply = process.request(b"GET " + path + b" HTTP/1.1\r\n\r\n")
                assert reply[9:12] == b"200"
            for line in process.lines:
                assert json.loads(line)["message_type"] != "exception"
            process.lines.clear()
            assert process.node.board.records.counters[Count.EXCEPTIONS] == 0

    def packet(self, answer=False):
        """Returns a packet that may be odd."""
        draw = self.draw
        data = crafting.packet(
            flags=draw.choice(
                (1, 2, 4, 32, 64, 65, 66, 68, draw.randrange(256))
            ),
            seq=draw.choice((0, 8, 500, draw.randrange(1 << 32))),
            ack=draw.choice((0, 1, 9, draw.randrange(1 << 32))),
            data=draw.randbytes(draw.choice((0, 0, 5, 100))),
            port=40_000 + draw.randrange(30),
            note=draw.choice((0, draw.randrange(1 << 32))),
            answer=answer,
            service_port=draw.choice((443, 443, 443, 444)),
        )
        return self.changed(data) if draw.random() < 0.4 else data

    def changed(self, data):
        """Returns a copy with a few bytes changed."""
        if not data:
            return b"x"
        if self.draw.random() < 0.1:
            return self.draw.randbytes(self.draw.randrange(60))
        return changed_copy(self.draw, data)

    def caller_packet(self):
        if self.draw.random() < 0.2:
            data, to = self.packet(answer=True), self.agent
        else:
            data, to = self.packet(), self.draw.choice(self.balancers)
        to.receive(SocketRole.PACKETS, data, (crafting.CALLER, 40_000))

    def peer_packet(self):
        draw = self.draw
        to_agent = draw.random() < 0.5
        data = self.packet(answer=not to_agent and draw.random() < 0.5)
        if to_agent and draw.random() < 0.5:
            data += draw.choice((b"hallbook", b"\xff", b"scoredrop" * 20))
        try:
            segment = CODEC.decode_request(data)
            kind = draw.choice(list(notes.NoteKind))
            low = draw.choice((TAG, draw.randrange(1 << 28)))
            note = draw.randrange(256) << 32 | kind << 28 | low
            data = CODEC.with_note(segment, note)
        except CodecError:
            pass  # It stays as it is.
        if to_agent:
            sender = (draw.choice(BALANCERS), PEER_PORTS[0])
            self.agent.receive(SocketRole.PEERS, data, sender)
        else:
            sender = (draw.choice((AGENT, "10.0.0.2")), PEER_PORTS[0])
            to = draw.choice(self.balancers)
            to.receive(SocketRole.PEERS, data, sender)

    def control_message(self):
        draw = self.draw
        data = encode_message(draw.choice(self.messages))
        if draw.random() < 0.8:
            data = self.changed(data)
        sender = (draw.choice((*BALANCERS, AGENT, "10.0.7.7")), 27_721)
        to = draw.choice(self.processes)
        to.receive(SocketRole.CONTROL, data, sender)

    def _item(self, key, value):
        self.revision += 1
        text = json.dumps(value)
        if self.draw.random() < self.odd_share / 4:
            text = self.changed(text.encode()).decode("utf-8", "replace")
        return {
            "key": key,
            "value": base64.b64encode(text.encode()).decode(),
            "rev": self.revision,
            "revision": self.revision,
            "mod": self.revision,
            "created": self.revision,
        }

    def _odd(self, value):
        """Returns a copy of a JSON value with some fields odd."""
        draw = self.draw
        if draw.random() < 0.06:
            return draw.choice(EXTREMES)
        if isinstance(value, dict):
            return {
                key: self._odd(item)
                for key, item in value.items()
                if draw.random() > 0.02
            }
        if isinstance(value, list):
            return [self._odd(item) for item in value]
        return value

    def _documents(self):
        draw = self.draw
        self.version += draw.choice((0, 1))
        route = {
            "name": "r",
            "host": "198.18.0.1",
            "path_prefix": "/443/",
            "kind": draw.choice(("safe", "unsafe", "upload")),
            "service": crafting.SERVICE,
        }
        configuration = {
            "version": self.version,
            "routes": [route],
            "limits": {"idle_timeout_ms": 15_000},
            "services": [
                {"name": crafting.SERVICE, "cold_per_s": 6, "cold_start_s": 2}
            ],
        }
        entry = {
            "service": draw.choice((crafting.SERVICE, "hallbook")),
            "address": f"10.0.0.{draw.randint(1, 3)}:28165",
            "zone": draw.choice(("a", "b")),
            "version": "1",
            "slots": 3,
            "state": draw.choice(("ready", "draining")),
            "cold_remaining_ms": draw.choice((0, 2000)),
            "seq": 1,
            "born": draw.choice((0, 7, 8)),
        }
        return [
            ("op/config", configuration),
            (f"servers/i-{draw.randint(1, 3)}", entry),
        ] + [("op/evacuate/b", {})] * (draw.random() < 0.05)

    def store_answer(self):
        draw = self.draw

        def odd():
            return draw.random() < self.odd_share

        process = draw.choice(self.balancers)
        client = draw.choice(
            (process.client, process.client, process.confirming)
        )
        items = [
            self._item(key, self._odd(value) if odd() else value)
            for key, value in self._documents()
            if draw.random() < 0.7
        ]
        if odd() and items:
            items[0].pop("value")
        if odd():
            self.revision = draw.choice((self.revision, 0, 10**15 - 10))
        body = {"as_of": self.revision, "items": items, "events": items}
        if odd():
            body = self._odd(body)
        text = json.dumps(body).encode()
        if odd():
            text = self.changed(text)
        era = draw.choice(("1", "2", "x", "9" * 30))
        client.headers = {"store-era": era} if odd() else {}
        status = draw.choice((410, 500, 0)) if odd() else 200
        client.answer(status, text)

    def http_request(self):
        draw = self.draw
        target = draw.choice(("/metrics", "/health", "/ready", "/dump/"))
        if target == "/dump/":
            target += draw.choice(SECTIONS)
        if draw.random() < 0.5:
            name = draw.choice(("offset", "limit", "page"))
            target += f"?{name}={draw.choice(('1', '9' * 30, '-1', 'x', ''))}"
        method = draw.choice(("GET", "GET", "HEAD", "POST", "CONNECT"))
        head = f"{method} {target} HTTP/1.{draw.randrange(2)}\r\n"
        head += draw.choice(("", "Connection: Upgrade\r\nUpgrade: h2c\r\n"))
        data = f"{head}\r\n".encode()
        if draw.random() < 0.5:
            data = self.changed(data)
        reply = draw.choice(self.processes).request(data)
        assert reply[9:12] != b"500"


if __name__ == "__main__":
    fuzzer = Fuzzer(sys.argv[1])
    fuzzer.run(int(sys.argv[2]))
    print(sys.argv[1], sum(fuzzer.inputs.values()), dict(fuzzer.inputs))
    print({name.value: count for name, count in fuzzer.counters.items()})

"""A balancer's controller for what balancers tell each other.

A few of them read the platform's store; the others ask these for what has
changed, and are told at once by those that they have asked.
"""

from collections.abc import Iterable

from msgspec import Struct, field

from notchhoist.base.errors import CodecError
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import (
    Member,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.revisions import era_of
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published import reroutings
from notchhoist.flows.published.asking import hosts_to_ask, pause_s
from notchhoist.flows.published.budget import Budget
from notchhoist.flows.published.fleet_keeper import FleetKeeper
from notchhoist.flows.published.membership import ALIVE_S, Membership
from notchhoist.flows.published.mending import ViewMender
from notchhoist.flows.published.parts import ViewParts
from notchhoist.flows.published.pieces import ViewPieces
from notchhoist.flows.published.telling import Context, Question, ViewTeller

FRESH_S = Budget().fresh_s
"""What was confirmed within this time need not be read again, seconds, where a
change must be in force within 3 s."""

ASKED_WIDELY = 6
"""Balancers that are asked at once by one that hears no agent."""

TRY_AGAIN_S = 5.0
"""How often a balancer that the store does not answer tries again while others
tell it enough, seconds. Calls are priced, refused ones too."""

GAP_ASK_S = 0.1
"""Least time between two questions for what a message left out, seconds."""

ANSWERS_KEPT_S = 10.0
"""A question is forgotten after this time, seconds: answers to it are stale."""


class ViewSharer(Struct, eq=False):
    """Asks, answers and pushes what the platform has published.

    Attributes:
        board: What the balancer knows.
        fleet: Takes what is new.
        seeds: Hosts of some balancers, from the settings.
        membership: Which balancers there are, and who reads.
        mender: Has everything told or read anew where views differ.
        fresh_s: What was confirmed within this time need not be read again.
        askers: The newest question of each balancer.
        asked_at: When each question was asked that may still be answered.
        number: Number of the last question; see ``first_number``.
        pushed: Revision that the askers were last told.
        ask_due: When to ask next, seconds.
        turn: Counts the questions.
        gap_due: When what a message left out may be asked for again, seconds.
        heard_at: When any other balancer was last heard, seconds.
        parts: Views of which parts have come.
        pieces: The same of compressed ones.
        teller: Makes the messages that tell of changes.
    """

    board: BalancerBoard
    fleet: FleetKeeper
    seeds: tuple[str, ...]
    membership: Membership
    mender: ViewMender
    fresh_s: float = FRESH_S
    askers: dict[str, Question] = field(default_factory=dict)
    asked_at: dict[int, float] = field(default_factory=dict)
    number: int = 0
    pushed: int = 0
    ask_due: float = 0.0
    turn: int = 0
    gap_due: float = float("-inf")
    heard_at: float = float("-inf")
    parts: ViewParts = field(default_factory=ViewParts)
    pieces: ViewPieces = field(default_factory=ViewPieces)
    teller: ViewTeller = field(default_factory=ViewTeller)

    def stale_at(self) -> float:
        """Returns when what is known becomes too old, seconds."""
        return self.board.confirmed_at + self.fresh_s

    def must_read(self, now: float) -> bool:
        """Tells whether to read the store now."""
        fresh = now < self.stale_at()
        few = self.board.uses.few_readers and self.board.fleet_known
        if not fresh or not few or self.mender.doubtful:
            return True
        if self.membership.is_reader(now):
            return True
        unserved = self.membership.is_unserved(self.board.host)
        return unserved and now >= self.board.store_failed_at + TRY_AGAIN_S

    def on_confirmed(self, now: float, age_s: float = 0.0) -> None:
        """Notes that the platform has confirmed what is known.

        Args:
            now: Runtime clock, seconds.
            age_s: How long ago the platform may have said so, seconds.
        """
        if self.board.confirmed_at == float("-inf"):
            # Those that know nothing yet hear of it and ask back.
            self._ask(self._seeds(), now)
        self._note_certain(now - age_s, "")
        self._push(now)

    def _note_certain(self, at: float, host: str) -> None:
        """Notes up to when everything published is known, and from whom."""
        if at > self.board.confirmed_at:
            self.board.confirmed_at = at
            self.board.confirmed_by = host

    def _seeds(self) -> list[str]:
        return [host for host in self.seeds if host != self.board.host]

    def on_ask(self, host: str, ask: ViewAsk, now: float) -> None:
        """Answers another balancer; one that knows nothing asks back.

        After a loss of power the first that the platform answers asks those
        that all others ask: everybody knows three round trips later.
        """
        if not self.board.fleet_known and ask.revision > 0:
            self._ask([host], now)
        self.heard_at = now
        asker = Member(host, ask.link_mbps, unserved=ask.unserved)
        self.membership.on_heard(asker, now)
        question = Question(now, ask.revision, ask.number, ask.reads_pieces)
        self.askers[host] = question
        self._tell(host, question, now)

    def _tell(self, host: str, question: Question, now: float) -> None:
        if not self.board.fleet_known:
            return
        context = Context(
            age_s=now - self.board.confirmed_at,
            members=self.membership.told(now),
            asked=question.number,
            placing_for_ms=self._placing_for_ms(now),
            rerouted_for_ms=reroutings.told_for_ms(self.board, now),
        )
        change = self.board.view.since(question.revision)
        in_pieces = self.board.uses.pieces and question.reads_pieces
        for message in self.teller.messages(change, context, in_pieces):
            self.board.outbox.append(SendPeer(host, message))

    def _placing_for_ms(self, now: float) -> int:
        since = self.board.placing_since
        return max(1, int((now - since) * 1000)) if since <= now else 0

    def _push(self, now: float) -> None:
        """Tells the askers of a change before they ask again."""
        if self.board.view.revision == self.pushed:
            return
        self.pushed = self.board.view.revision
        for host, question in list(self.askers.items()):
            if now - question.at < ALIVE_S:
                self._tell(host, question, now)
                question.revision = self.pushed
            else:
                del self.askers[host]

    def on_piece(self, host: str, piece: ViewPiece, now: float) -> None:
        """Takes a piece of what another balancer knows."""
        self._take_context(host, piece, now)
        if self._is_known(piece):
            if not self._is_of_earlier_era(piece):
                self._note_confirmed(host, piece)
            return
        try:
            tell = self.pieces.whole(host, piece, now)
        except CodecError as error:
            self.board.records.counters[Count.MALFORMED] += 1
            self.board.records.decide(
                "view refused", b"", str(error), teller=host
            )
            return
        if tell is not None:
            self.on_tell(host, tell, now)

    def _is_known(self, piece: ViewPiece) -> bool:
        """Tells whether a whole view in answer to a question brings no news.

        Several tell the same at once to whoever has just started. What was
        asked for without a number is to mend a view, and is read.
        """
        known = self.board.fleet_known and piece.asked > 0 and not piece.base
        return known and piece.revision <= self.board.view.revision

    def on_tell(self, host: str, tell: ViewTell, now: float) -> None:
        """Takes what another balancer knows."""
        self._take_context(host, tell, now)
        change = self.parts.whole(host, tell, now)
        if change is None or self._is_of_earlier_era(change):
            return
        before = self.board.view.revision
        if self.fleet.on_change(change, now, host):
            self._note_confirmed(host, tell)
            self.mender.check(host, change, now)
        elif change.base > before:
            self._ask_about_gap(host, now)
        else:
            self.mender.ask_for_all(host, change, now)
        self.board.records.counters[Count.VIEWS_TOLD] += 1
        self._push(now)

    def _take_context(
        self, host: str, tell: ViewTell | ViewPiece, now: float
    ) -> None:
        """Takes what is told beside a change, whatever becomes of that."""
        self.heard_at = now
        self.membership.on_message(host, now)
        for member in tell.members:
            self.membership.on_heard(member, now)
        if tell.placing_for_ms:
            since = now - tell.placing_for_ms / 1000
            self.board.placing_since = min(self.board.placing_since, since)
        asked_at = self.asked_at.get(tell.asked, now)
        reroutings.on_told(self.board, tell.rerouted_for_ms, asked_at)

    def _is_of_earlier_era(self, change: ViewChange | ViewPiece) -> bool:
        """Tells whether a teller has not heard of a restore of the store.

        What it takes for confirmed lately was so before the restore.
        """
        return era_of(change.revision) < era_of(self.board.view.revision)

    def _note_confirmed(self, host: str, tell: ViewTell | ViewPiece) -> None:
        """Notes since when what was told is confirmed for certain.

        The age is as of the telling, which came after the question that it
        names, and a tell may wait for a second before a full link.
        """
        asked_at = self.asked_at.get(tell.asked)
        if asked_at is not None:
            self._note_certain(asked_at - tell.age_s, host)

    def _ask_about_gap(self, host: str, now: float) -> None:
        """Asks for what came between what is known and a difference."""
        if now >= self.gap_due:
            self.gap_due = now + GAP_ASK_S
            self._ask([host], now)

    def tick(self, now: float) -> None:
        """Asks one of the readers; forgets what is old."""
        if now < self.ask_due:
            return
        knows = self.board.fleet_known
        self.ask_due = now + pause_s(knows)
        self.turn += 1
        alive = self.membership.alive(now)
        alive.remove(self.board.host)
        seeds = [host for host in self._seeds() if host not in alive]
        self._ask(hosts_to_ask(self.turn, alive, seeds, knows), now)
        self.membership.sweep(now)
        for number, at in list(self.asked_at.items()):
            if now - at > ANSWERS_KEPT_S:
                del self.asked_at[number]
        self.parts.sweep(now)
        self.pieces.sweep(now)

    def _ask(self, hosts: Iterable[str], now: float) -> None:
        for host in dict.fromkeys(hosts):
            self.number += 1
            self.asked_at[self.number] = now
            message = ViewAsk(
                self.board.view.revision,
                self.membership.link_mbps,
                self.number,
                self.board.uses.pieces,
                self.membership.is_unserved(self.board.host),
            )
            self.board.outbox.append(SendPeer(host, message))

    def knows_others(self) -> bool:
        """Tells whether there are other balancers at all."""
        return bool(self.membership.others(self.seeds))

    def ask_widely(self, now: float) -> None:
        """Asks several balancers at once; any answer shows a path."""
        self._ask(self.membership.others(self.seeds)[:ASKED_WIDELY], now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return self.ask_due


def make_view_sharer(
    board: BalancerBoard,
    fleet: FleetKeeper,
    seeds: tuple[str, ...],
    link_mbps: int,
    number: int,
) -> ViewSharer:
    """Makes what shares a balancer's view with others.

    Args:
        board: What the balancer knows.
        fleet: Takes what is new.
        seeds: Hosts of some balancers.
        link_mbps: What the host's link carries, Mbit/s.
        number: Number that the first question follows.
    """
    membership = Membership(board, link_mbps)
    mender = ViewMender(board, membership)
    return ViewSharer(board, fleet, seeds, membership, mender, number=number)

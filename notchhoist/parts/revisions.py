"""Configuration by revision: the highest wins, and only differences travel."""

from collections.abc import Sequence

import attrs

from notchhoist import model
from notchhoist.base.rendezvous import rank_nodes

FEW_BALANCERS = 4
"""Entry hosts that an agent knows at the least, where there are that many."""


@attrs.frozen
class Difference:
    """What changed between two revisions, as absolute records.

    Attributes:
        revision: Revision that the receiver reaches.
        base: Lowest revision that it can be applied to.
        services: Records that changed.
        removed: Names of services that were dropped.
        balancers: The balancer list, or None where it did not change.
    """

    revision: int
    base: int
    services: tuple[model.Service, ...] = ()
    removed: tuple[str, ...] = ()
    balancers: tuple[model.BalancerHost, ...] | None = None


def balancers_for(
    zone: str, hosts: Sequence[model.BalancerHost]
) -> tuple[model.BalancerHost, ...]:
    """Returns the entry hosts that an agent of a zone gets to know.

    Those of its own zone, and others, the same for the whole zone, until there
    are a few.

    Examples:
        >>> hosts = [
        ...     model.BalancerHost(f"e{n}", f"z{n}", model.Endpoint("e", n))
        ...     for n in range(9)
        ... ]
        >>> known = balancers_for("z3", hosts)
        >>> known[0].name, len(known)
        ('e3', 4)

    Args:
        zone: Availability zone; empty for all hosts.
        hosts: All entry hosts.
    """
    if not zone:
        return tuple(hosts)
    near = [host for host in hosts if host.zone == zone]
    by_peer = {host.peer: host for host in hosts if host.zone != zone}
    ranked = rank_nodes(zone.encode(), list(by_peer))
    missing = max(0, FEW_BALANCERS - len(near))
    return (*near, *(by_peer[peer] for peer in ranked[:missing]))


@attrs.define
class RevisionStore:
    """The configuration in force at one process.

    It never goes back: a document or difference that is not above the
    revision in force changes nothing.

    Examples:
        >>> store = RevisionStore()
        >>> service = model.Service("hallbook", model.Endpoint("10.0.0.1", 1))
        >>> store.adopt(model.Configuration(2, (service,)))
        True
        >>> store.adopt(model.Configuration(1))
        False
        >>> store.services["hallbook"].address.port
        1

    Attributes:
        revision: Revision in force; 0 before the first.
        services: Records by name.
        changed_at: For each name, the revision of its last change or removal
            as this process saw it, which is never below the true one.
        balancers: Entry hosts.
        balancers_at: Revision of their last change, seen likewise.
    """

    revision: int = 0
    services: dict[str, model.Service] = attrs.Factory(dict)
    changed_at: dict[str, int] = attrs.Factory(dict)
    balancers: tuple[model.BalancerHost, ...] = ()
    balancers_at: int = 0

    def adopt(self, document: model.Configuration) -> bool:
        """Puts a whole document in force if its revision is higher."""
        if document.revision <= self.revision:
            return False
        named = {service.name: service for service in document.services}
        difference = Difference(
            revision=document.revision,
            base=self.revision,
            services=tuple(
                service
                for name, service in named.items()
                if self.services.get(name) != service
            ),
            removed=tuple(name for name in self.services if name not in named),
            balancers=document.balancers,
        )
        return self.apply(difference)

    def apply(self, difference: Difference) -> bool:
        """Puts a difference in force if it leads from here to higher."""
        if difference.revision <= self.revision:
            return False
        if difference.base > self.revision:
            return False
        self.revision = difference.revision
        for service in difference.services:
            self.services[service.name] = service
            self.changed_at[service.name] = difference.revision
        for name in difference.removed:
            self.services.pop(name, None)
            self.changed_at[name] = difference.revision
        self._set_balancers(difference.balancers)
        return True

    def _set_balancers(
        self, balancers: Sequence[model.BalancerHost] | None
    ) -> None:
        if balancers is None or tuple(balancers) == self.balancers:
            return
        self.balancers = tuple(balancers)
        self.balancers_at = self.revision

    def since(
        self, revision: int, service: str = "", zone: str = ""
    ) -> Difference:
        """Returns what changed after a revision.

        Args:
            revision: Revision in force at the asker.
            service: Only this service; empty for all.
            zone: Only balancers of this availability zone; empty for all.

        Returns:
            A difference that is valid from that revision on.
        """
        names = [
            name
            for name, changed in self.changed_at.items()
            if changed > revision and service in ("", name)
        ]
        present = [name for name in names if name in self.services]
        return Difference(
            revision=self.revision,
            base=min(revision, self.revision),
            services=tuple(self.services[name] for name in present),
            removed=tuple(name for name in names if name not in self.services),
            balancers=(
                balancers_for(zone, self.balancers)
                if self.balancers_at > revision
                else None
            ),
        )

    def document(self) -> model.Configuration:
        """Returns the configuration in force as a whole document."""
        return model.Configuration(
            self.revision, tuple(self.services.values()), self.balancers
        )

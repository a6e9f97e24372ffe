"""Configuration by revision: the highest wins; peers exchange differences."""

from collections.abc import Sequence

import attrs

from notchhoist import model
from notchhoist.base.rendezvous import rank_nodes

MIN_KNOWN_BALANCERS = 4
"""Minimum number of entry hosts that an agent knows, if that many exist."""


@attrs.frozen
class Difference:
    """Changes between two revisions, as whole records.

    Attributes:
        revision: Revision that the receiver reaches.
        base: Lowest revision that the difference can be applied to.
        services: Services that were added or changed.
        removed: Names of services that were removed.
        balancers: The balancer list, or None if it did not change.
    """

    revision: int
    base: int
    services: tuple[model.Service, ...] = ()
    removed: tuple[str, ...] = ()
    balancers: tuple[model.BalancerHost, ...] | None = None


def balancers_for(
    zone: str, hosts: Sequence[model.BalancerHost]
) -> tuple[model.BalancerHost, ...]:
    """Returns the entry hosts that are published to the agents of a zone.

    These are all hosts of the zone, filled up to ``MIN_KNOWN_BALANCERS`` with
    hosts of other zones, which are the same for all agents of the zone.

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
    local_hosts = [host for host in hosts if host.zone == zone]
    remote_by_peer = {host.peer: host for host in hosts if host.zone != zone}
    ranked = rank_nodes(zone.encode(), list(remote_by_peer))
    missing_count = max(0, MIN_KNOWN_BALANCERS - len(local_hosts))
    return (
        *local_hosts,
        *(remote_by_peer[peer] for peer in ranked[:missing_count]),
    )


@attrs.define
class RevisionStore:
    """The configuration in force at one process.

    The revision never decreases: a document or difference whose revision is
    not above the one in force is ignored.

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
        services: Services by name.
        changed_at: For each service name, the revision at which this process
            applied its last change or removal; never below the revision that
            made the change.
        balancers: Entry hosts.
        balancers_at: Revision at which this process applied the last change
            of the entry hosts; likewise.
    """

    revision: int = 0
    services: dict[str, model.Service] = attrs.Factory(dict)
    changed_at: dict[str, int] = attrs.Factory(dict)
    balancers: tuple[model.BalancerHost, ...] = ()
    balancers_at: int = 0

    def adopt(self, document: model.Configuration) -> bool:
        """Applies a whole document if its revision is higher.

        Returns:
            Whether the document was applied.
        """
        if document.revision <= self.revision:
            return False
        published = {service.name: service for service in document.services}
        difference = Difference(
            revision=document.revision,
            base=self.revision,
            services=tuple(
                service
                for name, service in published.items()
                if self.services.get(name) != service
            ),
            removed=tuple(
                name for name in self.services if name not in published
            ),
            balancers=document.balancers,
        )
        return self.apply(difference)

    def apply(self, difference: Difference) -> bool:
        """Applies a difference if its revision is higher and its base known.

        Returns:
            Whether the difference was applied: it is not if its revision is
            not above the one in force, or if its base is.
        """
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
        """Returns the changes after a revision.

        Args:
            revision: Revision in force at the process that asks.
            service: Only this service; empty for all.
            zone: Only balancers of this availability zone; empty for all.

        Returns:
            A difference that can be applied to that revision.
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

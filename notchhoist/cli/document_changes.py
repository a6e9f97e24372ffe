"""Applies change statements to the published configuration document.

Nothing is published here: the operator publishes the resulting document with
the tools of the platform.
"""

from collections.abc import Callable

import attrs
from returns.result import Failure, Result, Success

from notchhoist import documents, model
from notchhoist.cli import statements

MAX_FORMER_SETS = 4
"""Number of earlier witness sets that a service keeps in the document."""


def next_document(
    current: model.Configuration, change: statements.Change
) -> Result[model.Configuration, model.StatementError]:
    """Returns the document that follows from a change statement.

    Args:
        current: The published document.
        change: The change statement.

    Returns:
        The validated document of the next revision, or the reason why the
        change is refused.
    """
    return (
        _apply_change(current, change)
        .map(
            lambda services: attrs.evolve(
                current, revision=current.revision + 1, services=services
            )
        )
        .bind(_validate)
    )


Services = tuple[model.Service, ...]


def _apply_change(
    current: model.Configuration, change: statements.Change
) -> Result[Services, model.StatementError]:
    match change:
        case statements.CreateService():
            return _create(current, change)
        case statements.DropService():
            return _drop(current, change)
        case statements.AttachServer():
            return _attach(current, change)
        case statements.DetachServer():
            return _detach(current, change)
        case statements.DrainServer():
            return _drain(current, change)
        case statements.WeighKind():
            return _weigh(current, change)


def _validate(
    document: model.Configuration,
) -> Result[model.Configuration, model.StatementError]:
    text = documents.write_configuration(document)
    return documents.parse_configuration(text).alt(
        lambda refused: model.StatementError(
            0, refused.problems[0].expected, str(refused.problems[0])
        )
    )


def _refuse(expected: str, got: str) -> Failure[model.StatementError]:
    return Failure(model.StatementError(0, expected, got))


def _create(
    current: model.Configuration, change: statements.CreateService
) -> Result[Services, model.StatementError]:
    names = [service.name for service in current.services]
    if change.service in names:
        return _refuse("a service name that is not in use", change.service)
    revision = current.revision + 1
    service = model.Service(change.service, change.address, epoch=revision)
    return Success((*current.services, service))


def _drop(
    current: model.Configuration, change: statements.DropService
) -> Result[Services, model.StatementError]:
    remaining = tuple(s for s in current.services if s.name != change.service)
    if len(remaining) == len(current.services):
        return _unknown_service(current, change.service)
    return Success(remaining)


def _unknown_service(
    current: model.Configuration, name: str
) -> Failure[model.StatementError]:
    names = " or ".join(service.name for service in current.services)
    return _refuse(names or "a service", name)


def _edit_service(
    current: model.Configuration,
    name: str,
    edit: Callable[
        [model.Service], Result[model.Service, model.StatementError]
    ],
) -> Result[Services, model.StatementError]:
    found = next((s for s in current.services if s.name == name), None)
    if found is None:
        return _unknown_service(current, name)
    return edit(found).map(
        lambda edited: tuple(
            edited if service is found else service
            for service in current.services
        )
    )


def _replace_servers(
    service: model.Service,
    servers: tuple[model.BackendServer, ...],
    revision: int,
) -> model.Service:
    """Replaces the servers of a service and starts a new epoch.

    The agents of the previous servers are kept as a former witness set.
    """
    former = model.WitnessSet(service.epoch, service.agents())
    return attrs.evolve(
        service,
        servers=servers,
        epoch=revision,
        former=(former, *service.former)[:MAX_FORMER_SETS],
    )


def _attach(
    current: model.Configuration, change: statements.AttachServer
) -> Result[Services, model.StatementError]:
    server = model.BackendServer(
        name=change.server,
        zone=change.zone,
        agent=change.agent,
        address=change.address,
        slots=change.slots,
    )

    def edit(
        service: model.Service,
    ) -> Result[model.Service, model.StatementError]:
        servers = (*service.servers, server)
        return Success(_replace_servers(service, servers, current.revision + 1))

    return _edit_service(current, change.service, edit)


def _server_names(service: model.Service) -> str:
    return " or ".join(server.name for server in service.servers)


def _detach(
    current: model.Configuration, change: statements.DetachServer
) -> Result[Services, model.StatementError]:
    def edit(
        service: model.Service,
    ) -> Result[model.Service, model.StatementError]:
        remaining = tuple(s for s in service.servers if s.name != change.server)
        if len(remaining) == len(service.servers):
            return _refuse(_server_names(service), change.server)
        return Success(
            _replace_servers(service, remaining, current.revision + 1)
        )

    return _edit_service(current, change.service, edit)


def _drain(
    current: model.Configuration, change: statements.DrainServer
) -> Result[Services, model.StatementError]:
    def edit(
        service: model.Service,
    ) -> Result[model.Service, model.StatementError]:
        if change.server not in [server.name for server in service.servers]:
            return _refuse(_server_names(service), change.server)
        servers = tuple(
            attrs.evolve(server, state=change.state)
            if server.name == change.server
            else server
            for server in service.servers
        )
        return Success(attrs.evolve(service, servers=servers))

    return _edit_service(current, change.service, edit)


def _weigh(
    current: model.Configuration, change: statements.WeighKind
) -> Result[Services, model.StatementError]:
    def edit(
        service: model.Service,
    ) -> Result[model.Service, model.StatementError]:
        names = [kind.name for kind in service.kinds]
        if change.kind not in names:
            return _refuse(" or ".join(names), change.kind)
        kinds = tuple(
            attrs.evolve(kind, weight=change.weight)
            if kind.name == change.kind
            else kind
            for kind in service.kinds
        )
        return Success(attrs.evolve(service, kinds=kinds))

    return _edit_service(current, change.service, edit)

"""Parsing, validation and writing of configuration and settings."""

from notchhoist.documents.configuration import (
    parse_balancers,
    parse_configuration,
    parse_service,
    write_balancers,
    write_configuration,
    write_service,
)
from notchhoist.documents.structuring import read_json, structure, unstructure

__all__ = [
    "parse_balancers",
    "parse_configuration",
    "parse_service",
    "read_json",
    "structure",
    "unstructure",
    "write_balancers",
    "write_configuration",
    "write_service",
]

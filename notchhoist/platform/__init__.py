"""Translates the platform's protocol; no other package knows its formats.

Each module imports only modules that stand above it in this list:

* ``json_fields``: validates fields of decoded JSON; errors name the field's
  place.
* ``packets``: encodes and decodes the packets of flows.
* ``documents``: decodes the configuration and the backend servers' entries.
* ``eras``: reads the era of the store from an answer.
* ``settings``: reads the settings file of a process.
* ``changes``: decodes the answers of watches on the store.
* ``calls``: describes a call to the store and computes its timeouts.
* ``store``: decides the next call to the store and decodes its answers.
* ``unnamed_eras``: detects restores of a store whose answers name no era.
* ``applying``: applies the events in an answer.
* ``feeding``: decides when a balancer reads the store, and handles the answers.
* ``readiness``: answers the platform's readiness check.

The rest of the project gets the types of ``notchhoist.flows``.
"""

"""Thrift encoding of the control messages.

``flow.thrift`` is the schema, and ``generated`` is the code that the Thrift
compiler generates from it. ``message_codec`` converts to and from
``model.messages``.
"""

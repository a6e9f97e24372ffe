"""Thrift encoding of the control messages.

``flow.thrift`` is the schema, ``generated`` what the library's generator made
of it, and ``message_codec`` translates to and from ``model.messages``.
"""

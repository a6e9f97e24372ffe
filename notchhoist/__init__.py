"""notchhoist: a layer-4 load balancer that answers for outcomes.

The package is layered; each subpackage imports only those above it:

* ``model``: values, messages and typed errors.
* ``parts``: coordination parts for others to embed; no I/O.
* ``blackboards``: what each role knows.
* ``controllers``: decisions; they read and write a blackboard.
* ``wire``: codecs (CoAP, Thrift).
* ``platform``: the platform's configuration service, read only.
* ``daemon``: sockets, tasks, settings, logs; the ``notchhoistd`` process.
* ``cli``: the ``notchhoist`` command-line tool.
* ``testing``: stand-ins for the outside systems, history checking.
"""

__version__ = "0.1.0"

"""notchhoist: a layer-4 load balancer responsible for the outcomes of requests.

It is responsible to the caller for the outcome of each request: a request is
answered, refused or reported as not run, and one that must not repeat runs at
most once.

The package is layered; each subpackage imports only those above it:

* ``model``: values, messages and typed errors.
* ``parts``: embeddable building blocks for coordination; no I/O.
* ``blackboards``: shared state of each role's node.
* ``controllers``: decision logic; reads and writes a blackboard.
* ``wire``: codecs (CoAP, Thrift).
* ``platform``: read-only client of the platform's configuration service.
* ``daemon``: sockets, tasks, settings, logs; the ``notchhoistd`` process.
* ``cli``: the ``notchhoist`` command-line tool.
* ``testing``: stand-ins for external systems, checks of histories.
"""

__version__ = "0.1.0"

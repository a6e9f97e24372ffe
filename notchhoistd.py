"""Starts the daemon like ``python -m notchhoist.daemon``, but faster.

``-m`` loads ``runpy`` and searches for the module first, which takes a tenth of
the start-up time.
"""

from notchhoist.daemon.__main__ import main

main()

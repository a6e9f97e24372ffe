"""Starts the daemon: ``python -m notchhoist.daemon`` without its search.

``-m`` loads ``runpy`` and looks for the module first, a tenth of a start.
"""

from notchhoist.daemon.__main__ import main

main()

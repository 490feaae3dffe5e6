"""Starts the router process: `python -m pebblepass.daemon`."""

from __future__ import annotations

import sys

from pebblepass.daemon.without_tls import openssl_left_out

if __name__ == "__main__":
    with openssl_left_out():
        from pebblepass.daemon.process import main

    sys.exit(main())
